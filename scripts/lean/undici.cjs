// What the bundled daemon uses of undici. The library's index also loads fetch, WebSocket and caches, and with them much of
// Node's own copy, which a start need not pay for.
"use strict";
const Dispatcher = require("undici/lib/dispatcher/dispatcher");
const Pool = require("undici/lib/dispatcher/pool");

Dispatcher.prototype.request = require("undici/lib/api/api-request");

module.exports = { Pool };
