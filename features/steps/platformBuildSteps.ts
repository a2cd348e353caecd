/** Steps that build checkouts for the users' platform, each with something that an earlier build, a machine or an environment left. */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { appendFileSync, existsSync, mkdirSync, readdirSync, readFileSync, renameSync, writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

type Variables = Readonly<Record<string, string>>;
/** What is used of `scripts/cleanBuild/checkout.mjs`. */
interface Checkout {
    readonly folder: string;
    build(variables?: Variables): { readonly status: number | null; readonly output: string; };
    copyDependencies(): void;
    remove(): void;
}
interface CheckoutModule {
    openCheckout(root: string, source: "workingTree"): Checkout;
}

const root = fileURLToPath(new URL("../..", import.meta.url));
const buildLimitMs = 10 * 60_000;

/** Code that an earlier build has left. */
const leftBehind = "left behind by an earlier build";

interface State {
    prepare?(checkout: Checkout): void;
    readonly variables?: Variables;
}

const writeCompiled = (folder: string, path: string): void => {
    const file = join(folder, path);
    mkdirSync(dirname(file), { recursive: true });
    writeFileSync(file, `throw new Error("${leftBehind}");\nexport const readBody = undefined;\n`);
};

/** What may be in a checkout, or in the environment of its build. */
const states: Readonly<Record<string, State>> = {
    "nothing else": {},
    "a production environment": { variables: { NODE_ENV: "production", npm_config_omit: "dev" } },
    "no home folder": { variables: { HOME: "/dev/null/home" } },
    "a home folder that cannot be created": { variables: { HOME: "/proc/home" } },
    "installed dependencies": { prepare: ({ copyDependencies }) => copyDependencies() },
    "compiled modules of an earlier build": {
        prepare: ({ copyDependencies, folder }) => {
            copyDependencies();
            writeCompiled(folder, "packages/puffinarchd/dist/intake/readBody.js");
            writeCompiled(folder, "packages/puffinarch/dist/puffinarch.js");
            writeCompiled(folder, "target/puffinarchd.cjs");
        },
    },
    "a bundler for another kind of machine": {
        prepare: ({ copyDependencies, folder }) => {
            copyDependencies();
            const binaries = join(folder, "node_modules/@esbuild");
            for (const name of readdirSync(binaries)) {
                renameSync(join(binaries, name), join(binaries, "sunos-x64"));
            }
        },
    },
    "a dependency of another version": {
        prepare: ({ copyDependencies, folder }) => {
            copyDependencies();
            const path = join(folder, "node_modules/undici/package.json");
            const undici = JSON.parse(readFileSync(path, "utf8")) as object;
            writeFileSync(path, JSON.stringify({ ...undici, version: "7.0.0" }));
            writeCompiled(folder, "node_modules/undici/lib/dispatcher/pool.js");
        },
    },
};

let checkout: Checkout | undefined;
let variables: Variables = {};
let result: ReturnType<Checkout["build"]>;

After(() => {
    checkout?.remove();
    checkout = undefined;
});

Given("a checkout with {string}", { timeout: buildLimitMs }, async (name: string) => {
    const state = states[name];
    assert.ok(state !== undefined, `no state is called "${name}"`);
    const module = await import(`file://${join(root, "scripts/cleanBuild/checkout.mjs")}`) as CheckoutModule;
    checkout = module.openCheckout(root, "workingTree");
    state.prepare?.(checkout);
    variables = state.variables ?? {};
});

Given("an adapter that imports {string}, which only an earlier build has left", (module: string) => {
    assert.ok(checkout !== undefined);
    writeCompiled(checkout.folder, "packages/puffinarchd/dist/intake/removed.js");
    writeCompiled(checkout.folder, "target/puffinarchd.cjs");
    appendFileSync(join(checkout.folder, "platform/src/main.ts"), `import "${module}";\n`);
});

When("it is built by the command of the deploy file", { timeout: buildLimitMs }, () => {
    assert.ok(checkout !== undefined);
    result = checkout.build(variables);
});

Then("the build leaves a bundle and its cached code", () => {
    assert.equal(result.status, 0, result.output);
    const target = join(checkout?.folder ?? "", "target");
    assert.ok(existsSync(join(target, "puffinarchd.cache")), result.output);
    assert.ok(!readFileSync(join(target, "puffinarchd.cjs"), "utf8").includes(leftBehind), "holds compiled modules");
});

Then("the build fails, names {string} and leaves no bundle", (name: string) => {
    assert.notEqual(result.status, 0, result.output);
    assert.ok(result.output.includes(name), result.output);
    assert.ok(!existsSync(join(checkout?.folder ?? "", "target/puffinarchd.cjs")), "a bundle is left");
});
