// Mutation test of the core: applies each fault below to a scratch copy and prints the tests that fail with it.
// A fault is a title, then one or more times: file, text to replace, replacement. A text that is not found counts as
// NOT CAUGHT.
import { spawn } from "node:child_process";
import { cpSync, mkdtempSync, readFileSync, rmSync, symlinkSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { parseArgs } from "node:util";

const source = "packages/core/src";
const faults = [
    ["store a bill without deduplication", "ledger/reconcile.ts", "if (findBill(record, change.pages, settlement.key) !== undefined) {\n        return false;\n    }\n    record.bills", "record.bills"],
    ["recover a silent peer without querying its witnesses", "systems/recovery.ts", "    const { epoch } = holder;\n    for", "    const { epoch } = holder;\n    addRecovery(account, name, epoch, []);\n    for"],
    ["return a dead router's whole allowance", "ledger/reconcile.ts", "holding.allowance = Math.min(holding.allowance, used);", "holding.allowance = 0;"],
    ["accept an older configuration", "systems/configuration.ts", "    if (snapshot.version <= world.configuration.version) {\n        return;\n    }\n    const compiled", "    const compiled"],
    ["report a second attempt as not run", "systems/runs.ts", "return call.provablyFirst && !run.written", "return !run.written"],
    ["use tokens without a witness", "systems/witness.ts", "    return open.allowed;\n}", "    open.allowed = true;\n    return true;\n}"],
    ["run a call that may not be repeated without a claim", "systems/runs.ts", "if (run.idempotent || run.claim !== undefined) {", "if (run.id > 0) {"],
    ["treat a claim of unknown result as not stored", "systems/claims.ts", "            readKey(world, claimKey(run.keyDigest), { kind: \"claim\", run: run.id });\n            return { kind: \"pending\" };", "            return { kind: \"owned\" };"],
    ["count a repeated top-up twice", "ledger/record.ts", "    if (record.topUps[id] !== undefined) {\n        return false;\n    }\n", ""],
    ["treat a write whose reply was lost as not applied", "systems/ledger.ts", "?.operation === write.operation) {", "?.operation === undefined) {"],
    ["end an answer without its total", "systems/answers.ts", "if (end.chunks !== nextOffset(run)) {", "if (end.chunks < 0) {"],
    ["forward repeated chunks", "systems/streams.ts", "    if (chunk.offset < nextOffset(run)) {\n        return;\n    }\n", ""],
    ["send work to a leaving endpoint", "systems/endpoints.ts", "return !row.leaving && now", "return now"],
    ["end an answer before its witnesses have stored its bill", "systems/answers.ts", "    run.state = \"billing\";\n", "    run.state = \"billing\";\n    schedule(world.due, now, { kind: \"bill-wait\", run: run.id });\n", "systems/witness.ts", "return open !== undefined && open.keptBy.size >= required;", "return open !== undefined || required < 0;"],
    ["run suspect requests concurrently", "systems/runs.ts", "if (isSuspect(world, run.arrival.bodyDigest, now) && run.isolationEndpoint === undefined) {", "if (run.id < 0) {"],
    ["exit from a drain with requests left", "systems/drain.ts", "openRuns += run.state === \"done\" ? 0 : 1;", "openRuns += run.state === \"done\" ? 0 : 0;", "systems/drain.ts", "    if (unwrittenAccounts > 0) {\n        return;\n    }\n", ""],
    ["write a transfer before its receiver has it", "systems/lending.ts", "    openUse(world, account, use, now);\n    resendTransfer", "    openUse(world, account, use, now);\n    account.transfers.push(transfer);\n    resendTransfer"],
    ["keep spending after the entry was closed", "ledger/reconcile.ts", "if (change.expectsEntry && record.holders[change.holder] === undefined) {", "if (change.now < 0) {"],
    ["resume a stream after its last chunk", "systems/streams.ts", "Math.max(0, nextOffset(run) - 1)", "nextOffset(run)"],
    ["renew a crash report by forwarding it", "systems/suspects.ts", "at: now - crash.ageMs", "at: now - 0 * crash.ageMs"],
    ["isolate suspect requests although their crash is explained", "systems/suspects.ts", "row.crashes.filter((crash) => !isAttributed(world, crash));", "row.crashes.filter((crash) => crash.at > -Infinity);"],
    ["end a drain after one address lifetime", "systems/drain.ts", "const ADDRESS_LIFETIMES = 2;", "const ADDRESS_LIFETIMES = 1;"],
    ["close the allowance of a live router", "systems/peer-inbox.ts", "if (isLive(world, holder, now)) {", "if (now < 0) {"],
    ["treat any peer as silent after a fixed time", "systems/peers.ts", "return Math.max(world.policy.peerSilentMs, SILENT_AFTER_INTERVALS * meanHeartbeatIntervalMs(world));", "return world.policy.peerSilentMs;"],
    ["retry without a budget", "systems/streams.ts", "|| world.retryTokens < 1) {", "|| world.retryTokens < -1e9) {"],
];

const { values } = parseArgs({ options: { parallel: { type: "string", default: "3" }, only: { type: "string", default: "" } } });
const results = [];
const pending = faults.map((fault, index) => ({ fault, index })).filter(({ fault }) => fault[0].includes(values.only));
await Promise.all(Array.from({ length: Number(values.parallel) }, runWorker));
results.sort((first, second) => first.index - second.index);
for (const { name, caughtBy } of results) {
    console.log(`| ${name} | ${caughtBy.length === 0 ? "NOT CAUGHT" : caughtBy.slice(0, 2).join("; ")} |`);
}
const missed = results.filter((result) => result.caughtBy.length === 0).length;
console.log(`${results.length - missed} of ${results.length} faults caught`);
process.exit(missed === 0 ? 0 : 1);

async function runWorker() {
    for (let next = pending.shift(); next !== undefined; next = pending.shift()) {
        const caughtBy = await tryFault(next.fault);
        console.error(`${next.fault[0]}: ${caughtBy.length === 0 ? "NOT CAUGHT" : "caught"}`);
        results.push({ index: next.index, name: next.fault[0], caughtBy });
    }
}

async function tryFault([, ...changes]) {
    const folder = mkdtempSync(join(tmpdir(), "gooseberrybend-fault-"));
    try {
        for (const path of ["packages/core/src", "packages/core/package.json", "vitest.config.ts", "package.json"]) {
            cpSync(path, join(folder, path), { recursive: true });
        }
        symlinkSync(resolve("node_modules"), join(folder, "node_modules"));
        for (let index = 0; index < changes.length; index += 3) {
            const [file, from, to] = changes.slice(index, index + 3);
            const path = join(folder, source, file);
            const text = readFileSync(path, "utf8");
            if (!text.includes(from)) {
                return [];
            }
            writeFileSync(path, text.replace(from, to));
        }
        return await failedTests(folder);
    }
    finally {
        rmSync(folder, { recursive: true });
    }
}

function failedTests(folder) {
    return new Promise((done) => {
        const report = join(folder, "report.json");
        const run = spawn("npx", ["vitest", "run", "packages/core", "--reporter=json", `--outputFile=${report}`], { cwd: folder, stdio: "ignore" });
        run.on("exit", () => {
            const files = JSON.parse(readFileSync(report, "utf8")).testResults;
            done(files.flatMap((file) => file.assertionResults).filter((test) => test.status === "failed").map((test) => test.title));
        });
    });
}
