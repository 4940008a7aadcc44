#!/usr/bin/env node
import { existsSync } from "node:fs";
import process from "node:process";
import { URL } from "node:url";

const program = new URL("../dist/main.js", import.meta.url);
if (existsSync(program)) {
    await import(program.href);
}
else {
    process.stderr.write("gooseberrybend is not built yet. Run: npm run build\n");
    process.exitCode = 1;
}
