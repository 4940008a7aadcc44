// Runs the tests. Fails unless each failed test is listed in KNOWN-RED.txt.
import { spawnSync } from "node:child_process";
import { existsSync, mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

const folder = mkdtempSync(join(tmpdir(), "gooseberrybend-tests-"));
const report = join(folder, "report.json");
const run = spawnSync("npm", ["test", "--", "--reporter=default", "--reporter=json", `--outputFile.json=${report}`], {
    stdio: "inherit",
});
const known = existsSync("KNOWN-RED.txt")
    ? readFileSync("KNOWN-RED.txt", "utf8").split("\n").filter((line) => line.startsWith("test: ")).map((line) => line.slice(6).trim())
    : [];
if (!existsSync(report)) {
    process.exit(run.status ?? 1);
}
const results = JSON.parse(readFileSync(report, "utf8"));
rmSync(folder, { recursive: true });
const failed = results.testResults.flatMap((file) => [
    ...(file.status === "failed" && file.assertionResults.length === 0 ? [file.name] : []),
    ...file.assertionResults.filter((test) => test.status === "failed").map((test) => test.fullName),
]);
const unexpected = failed.filter((name) => !known.includes(name));
for (const name of failed) {
    console.log(`${known.includes(name) ? "KNOWN RED" : "RED"}: ${name}`);
}
console.log(`tests: ${results.numPassedTests} of ${results.numTotalTests}`);
process.exit(unexpected.length === 0 && results.numTotalTests > 0 ? 0 : 1);
