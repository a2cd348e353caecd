import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { existsSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

type Variables = Readonly<Record<string, string>>;
/** What is used of `scripts/cleanBuild/checkout.mjs`. */
interface Checkout {
    readonly folder: string;
    build(variables?: Variables): { readonly status: number | null; readonly output: string; };
    remove(): void;
}
interface CheckoutModule {
    openCheckout(root: string, source: "workingTree"): Checkout;
}

const root = fileURLToPath(new URL("../..", import.meta.url));
const buildLimitMs = 10 * 60_000;

interface State {
    prepare?(checkout: Checkout): void;
    readonly variables?: Variables;
}

/** What may be in a checkout, or in the environment of its build. */
const states: Readonly<Record<string, State>> = {
    "nothing else": {},
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

When("it is built by the command of the deploy file", { timeout: buildLimitMs }, () => {
    assert.ok(checkout !== undefined);
    result = checkout.build(variables);
});

Then("the build leaves a bundle and its cached code", () => {
    assert.equal(result.status, 0, result.output);
    for (const name of ["puffinarchd.cjs", "puffinarchd.cache"]) {
        assert.ok(existsSync(join(checkout?.folder ?? "", "target", name)), `${name} is missing: ${result.output}`);
    }
});
