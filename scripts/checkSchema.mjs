// Checks the schema: its style, that the committed code is what the generator makes, and that no change breaks callers of
// the released baseline. The rules are in docs/design/schema.md.
import { execFileSync } from "node:child_process";
import { cpSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";

const buf = resolve("node_modules/.bin/buf");
const env = { ...process.env, PATH: `${resolve("node_modules/.bin")}:${process.env.PATH}` };
const run = (args, cwd) => execFileSync(buf, args, { cwd, env, stdio: "inherit" });

const copySchema = () => {
    const folder = mkdtempSync(join(tmpdir(), "puffinarch-schema-"));
    cpSync("schema", folder, { recursive: true, filter: path => !/node_modules|dist$/.test(path) });
    return folder;
};

const checkGenerated = folder => {
    run(["generate"], folder);
    const generated = "gen/puffinarch/v1";
    for (const name of readdirSync(join(folder, generated))) {
        const fresh = readFileSync(join(folder, generated, name), "utf8");
        if (fresh !== readFileSync(join("schema", generated, name), "utf8")) {
            throw new Error(`schema/${generated}/${name} is not what the schema gives; run npm run schema:generate`);
        }
    }
};

// A check that cannot fail proves nothing, so a breaking change is made to a copy and must be refused.
const checkThatBreaksAreSeen = folder => {
    const path = join(folder, "puffinarch/v1/job.proto");
    writeFileSync(path, readFileSync(path, "utf8").replace("string job_id = 1;", "uint32 job_id = 1;"));
    try {
        execFileSync(buf, ["breaking", "--against", "baseline.binpb"], { cwd: folder, env, stdio: "pipe" });
    }
    catch {
        return;
    }
    throw new Error("a changed field type was not seen as a breaking change");
};

const folder = copySchema();
try {
    run(["lint"], folder);
    run(["breaking", "--against", "baseline.binpb"], folder);
    checkGenerated(folder);
    checkThatBreaksAreSeen(folder);
    console.log("the schema is well formed, generated and compatible");
}
finally {
    rmSync(folder, { recursive: true });
}
