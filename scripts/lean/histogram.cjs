// Replaces hdr-histogram-js in the bundle with its builder, all that the daemon uses. The library's index also loads its
// encodings, and with them a compression library.
"use strict";
const { build } = require("hdr-histogram-js/dist/HistogramBuilder");

module.exports = { build };
