"use strict";

module.exports = require("./lazy.cjs")(() => require("node:https"));
