// Replaces node:https in the bundle, so that a start does not load it.
"use strict";

module.exports = require("./lazy.cjs")(() => require("node:https"));
