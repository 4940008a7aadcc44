// Checks that the code in packages/ contains none of the platform's names and that the code in platform/ stays small.
// Tests and mocks are left out.
import { readFileSync } from "node:fs";
import { execFileSync } from "node:child_process";

const MAX_LINES = 900;
const list = (...patterns) =>
    execFileSync("git", ["ls-files", "--cached", "--others", "--exclude-standard", "--", ...patterns], { encoding: "utf8" })
        .split("\n")
        .filter((file) => file !== "" && !/\.test\.ts$|\/mocks\//.test(file));

const adapter = list("platform/src/*.ts");
const packageFiles = list("packages/*.ts");
const lines = adapter.reduce((sum, file) => sum + readFileSync(file, "utf8").split("\n").length - 1, 0);

// The platform's names are the adapter's string constants that look like headers, paths or key prefixes.
const names = new Set();
for (const file of adapter) {
    for (const [, text] of readFileSync(file, "utf8").matchAll(/["`]([^"`\n]+)["`]/g)) {
        const name = text.split("?")[0].split("$")[0];
        if (/^\/-\/[a-z-]+|^(op|servers)\/|^[a-z]+(-[a-z]+)+$/i.test(name) && !name.startsWith("lease-")) {
            names.add(name.toLowerCase());
        }
    }
}
// Standard HTTP names and the gateway's own failure kinds are not specific to the platform.
const standard = [
    "content-length", "content-type", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection",
    "transfer-encoding", "last-event-id", "application-json", "retry-after",
];
standard.forEach((name) => names.delete(name));

const leaks = [];
for (const file of packageFiles) {
    const text = readFileSync(file, "utf8").toLowerCase();
    for (const name of names) {
        if (text.includes(`"${name}`) || text.includes(`\`${name}`)) {
            leaks.push(`${file}: ${name}`);
        }
    }
}
leaks.forEach((leak) => console.log(`platform name used outside platform/: ${leak}`));
if (lines > MAX_LINES) {
    console.log(`platform/ has ${lines} lines without tests; the maximum is ${MAX_LINES}`);
}
console.log(`platform/: ${lines} lines, ${names.size} names, ${leaks.length} leaks`);
process.exit(leaks.length === 0 && lines <= MAX_LINES ? 0 : 1);
