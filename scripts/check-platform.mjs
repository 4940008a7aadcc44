// Keeps the platform's names inside platform/ and deploy/, and the folder small.
import { readFileSync } from "node:fs";
import { execFileSync } from "node:child_process";

const MOST_LINES = 900;
const list = (...patterns) =>
    execFileSync("git", ["ls-files", "--cached", "--others", "--exclude-standard", "--", ...patterns], { encoding: "utf8" })
        .split("\n")
        .filter((file) => file !== "" && !/\.test\.ts$|\/mocks\//.test(file));

const adapter = list("platform/src/*.ts");
const others = list("packages/*.ts");
const lines = adapter.reduce((sum, file) => sum + readFileSync(file, "utf8").split("\n").length - 1, 0);

// Names on the wire are the adapter's string constants that look like headers, paths or key prefixes.
const names = new Set();
for (const file of adapter) {
    for (const [, text] of readFileSync(file, "utf8").matchAll(/["`]([^"`\n]+)["`]/g)) {
        const name = text.split("?")[0].split("$")[0];
        if (/^\/-\/[a-z-]+|^(op|servers)\/|^[a-z]+(-[a-z]+)+$/i.test(name) && !name.startsWith("lease-")) {
            names.add(name.toLowerCase());
        }
    }
}
// Standard names of HTTP and the gateway's own failure kinds belong to nobody.
const standard = [
    "content-length", "content-type", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection",
    "transfer-encoding", "last-event-id", "application-json", "retry-after",
];
standard.forEach((name) => names.delete(name));

const leaks = [];
for (const file of others) {
    const text = readFileSync(file, "utf8").toLowerCase();
    for (const name of names) {
        if (text.includes(`"${name}`) || text.includes(`\`${name}`)) {
            leaks.push(`${file}: ${name}`);
        }
    }
}
leaks.forEach((leak) => console.log(`name of the platform outside platform/: ${leak}`));
if (lines > MOST_LINES) {
    console.log(`platform/ has ${lines} lines without tests, more than ${MOST_LINES}`);
}
console.log(`platform/: ${lines} lines, ${names.size} names, ${leaks.length} leaks`);
process.exit(leaks.length === 0 && lines <= MOST_LINES ? 0 : 1);
