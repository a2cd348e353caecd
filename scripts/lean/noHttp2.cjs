// Replaces undici's HTTP/2 client in the bundle. The daemon uses HTTP/1.1 without TLS, so undici never negotiates HTTP/2.
"use strict";

module.exports = () => {
    throw new Error("the bundled daemon does not support HTTP/2");
};
