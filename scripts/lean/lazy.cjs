// Stands for a module that is loaded when something of it is first used.
"use strict";

module.exports = load => new Proxy({}, { get: (_target, name) => load()[name] });
