// Tells the project's sources from the files that an earlier build has left in the checkout.

const sources = [
    /^(packages\/[^/]+|platform)\/src\/.+\.ts$/,
    /^schema\/gen\/.+\.ts$/,
    /^scripts\/lean\/[^/]+\.cjs$/,
    /(^|\/)node_modules\//,
];

/**
 * Returns the inputs of a bundle, by the bundler's metafile, that are neither sources nor packages of others.
 *
 * @example
 * findForeignInputs({ inputs: { "platform/src/main.ts": {}, "platform/dist/main.js": {} } }); // ["platform/dist/main.js"]
 */
export const findForeignInputs = ({ inputs }) =>
    Object.keys(inputs).filter(path => !sources.some(pattern => pattern.test(path)));
