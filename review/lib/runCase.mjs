/** Runs a case and ends with its code: 1 where the rule was broken, 0 where it held, 2 where the case could not run. */

export const heldCode = 0;
export const brokenCode = 1;
export const failedCode = 2;

/** `case_` returns a code; whatever else goes wrong is no result. Child processes end with this one. */
export const runCase = case_ => {
    const fail = error => {
        process.stderr.write(`${error?.stack ?? error}\n`);
        process.exit(failedCode);
    };
    process.on("uncaughtException", fail);
    process.on("unhandledRejection", fail);
    for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"]) {
        process.on(signal, () => process.exit(failedCode));
    }
    case_().then(code => process.exit(code), fail);
};
