// Creates a stand-in for a module. It loads the module when one of its properties is first read.
"use strict";

module.exports = load => new Proxy({}, { get: (_target, name) => load()[name] });
