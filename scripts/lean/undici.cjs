// Replaces undici in the bundle with its connection pool, all that the daemon uses. The library's index also loads fetch,
// WebSocket and caches, and with them much of the copy of undici that is built into Node.js, which slows a start.
"use strict";
const Dispatcher = require("undici/lib/dispatcher/dispatcher");
const Pool = require("undici/lib/dispatcher/pool");

Dispatcher.prototype.request = require("undici/lib/api/api-request");

module.exports = { Pool };
