// The daemon speaks HTTP/1.1 without TLS, so undici never negotiates HTTP/2.
"use strict";

module.exports = () => {
    throw new Error("HTTP/2 is not built in");
};
