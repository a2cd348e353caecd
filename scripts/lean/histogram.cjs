// What the daemon uses of hdr-histogram-js: no log writer, and so no compression.
"use strict";
const { build } = require("hdr-histogram-js/dist/HistogramBuilder");

module.exports = { build };
