// Checks the style of the schema, that the committed code is what the generator produces from it, and that it does not break
// callers of the released baseline. The rules are in docs/design/schema.md.
import { execFileSync } from "node:child_process";
import { cpSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";

const buf = resolve("node_modules/.bin/buf");
const env = { ...process.env, PATH: `${resolve("node_modules/.bin")}:${process.env.PATH}` };
const runBuf = (args, cwd) => execFileSync(buf, args, { cwd, env, stdio: "inherit" });

const copySchema = () => {
    const folder = mkdtempSync(join(tmpdir(), "puffinarch-schema-"));
    cpSync("schema", folder, { recursive: true, filter: path => !/node_modules|dist$/.test(path) });
    return folder;
};

const checkGenerated = folder => {
    runBuf(["generate"], folder);
    const generated = "gen/puffinarch/v1";
    for (const name of readdirSync(join(folder, generated))) {
        const expected = readFileSync(join(folder, generated, name), "utf8");
        if (expected !== readFileSync(join("schema", generated, name), "utf8")) {
            throw new Error(
                `schema/${generated}/${name} differs from what the generator produces; run npm run schema:generate`,
            );
        }
    }
};

// Makes a breaking change in the copy and expects buf to reject it, since a check that never fails would go unnoticed.
const checkBreakingChangeIsRejected = folder => {
    const path = join(folder, "puffinarch/v1/job.proto");
    writeFileSync(path, readFileSync(path, "utf8").replace("string job_id = 1;", "uint32 job_id = 1;"));
    try {
        execFileSync(buf, ["breaking", "--against", "baseline.binpb"], { cwd: folder, env, stdio: "pipe" });
    }
    catch {
        return;
    }
    throw new Error("buf breaking did not reject a field whose type has changed");
};

const folder = copySchema();
try {
    runBuf(["lint"], folder);
    runBuf(["breaking", "--against", "baseline.binpb"], folder);
    checkGenerated(folder);
    checkBreakingChangeIsRejected(folder);
    console.log("the schema is well formed and compatible, and its generated code is up to date");
}
finally {
    rmSync(folder, { recursive: true });
}
