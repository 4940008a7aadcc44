// Finds circles of imports. The files of known circles are listed; no other file may be part of one.
import { readFileSync } from "node:fs";
import { execFileSync } from "node:child_process";
import { dirname, join } from "node:path";

// Circles from before this check, still to be untied: the tables with their systems, and fakes.
const KNOWN = [/^packages\/core\/src\/(?!dispatch\/)/, /^packages\/(router\/src\/(?!gateway\/)|standins|cli|client)/];

const files = execFileSync("git", ["ls-files", "--cached", "--others", "--exclude-standard", "--", "packages/*.ts", "platform/*.ts"], { encoding: "utf8" })
    .split("\n")
    .filter((file) => file !== "");
const known = new Set(files);
const imports = new Map(files.map((file) => [
    file,
    [...readFileSync(file, "utf8").matchAll(/from "(\.[^"]+)\.js"/g)]
        .map(([, path]) => `${join(dirname(file), path)}.ts`)
        .filter((path) => known.has(path)),
]));

const state = new Map();
const circles = [];
function visit(file, path) {
    state.set(file, "open");
    for (const next of imports.get(file)) {
        if (state.get(next) === "open") {
            circles.push([...path.slice(path.indexOf(next)), next]);
        }
        else if (!state.has(next)) {
            visit(next, [...path, next]);
        }
    }
    state.set(file, "done");
}
files.filter((file) => !state.has(file)).forEach((file) => visit(file, [file]));

const fresh = circles.filter((circle) => circle.some((file) => !KNOWN.some((pattern) => pattern.test(file))));
fresh.forEach((circle) => console.log(`circle: ${circle.join(" -> ")}`));
console.log(`${files.length} files, ${circles.length} circles, ${fresh.length} of them new`);
process.exit(fresh.length === 0 ? 0 : 1);
