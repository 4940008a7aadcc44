// Formats all sources with the dprint plugin for TypeScript; with --check it only lists files that are not formatted.
import { readFileSync, writeFileSync } from "node:fs";
import { spawnSync } from "node:child_process";
import { createFromBuffer } from "@dprint/formatter";
import * as typescript from "@dprint/typescript";

const check = process.argv.includes("--check");
const configuration = JSON.parse(readFileSync("dprint.json", "utf8"));
const formatter = createFromBuffer(readFileSync(typescript.getPath()));
formatter.setConfig(configuration.global, configuration.typescript);
const listed = spawnSync("git", ["ls-files", "--cached", "--others", "--exclude-standard", "--", ...configuration.includes], { encoding: "utf8" });
let changed = 0;
for (const filePath of listed.stdout.split("\n").filter((path) => path !== "")) {
    const fileText = readFileSync(filePath, "utf8");
    const formatted = formatter.formatText({ filePath, fileText });
    if (formatted !== fileText) {
        changed++;
        console.log(`${check ? "not formatted" : "formatted"}: ${filePath}`);
        if (!check) {
            writeFileSync(filePath, formatted);
        }
    }
}
process.exit(check && changed > 0 ? 1 : 0);
