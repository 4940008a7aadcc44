// Runs the bundle beside this file with its V8 code cache, which avoids compiling the code at each start.
"use strict";
// The settings are read later: without a handler, a signal to read them again would end the process while it loads.
process.on("SIGHUP", () => undefined);

const { existsSync, readFileSync, writeFileSync } = require("node:fs");
const { Script } = require("node:vm");

const bundle = `${__filename}.bundle`;
const cache = `${__filename}.cache`;
const writesCache = process.argv[2] === "--write-cache";
if (writesCache) {
    process.argv.splice(2, 1);
}

const wrapped = `(function (exports, require, module) {${readFileSync(bundle, "latin1")}\n})`;
const cachedData = !writesCache && existsSync(cache) ? readFileSync(cache) : undefined;
const script = new Script(wrapped, { filename: bundle, cachedData });
if (!writesCache && script.cachedDataRejected !== false) {
    process.stderr.write(`Code cache ${cache} is missing or was written with another Node.js version or other flags; starting without it.\n`);
}
script.runInThisContext()(exports, require, module);

if (writesCache) {
    /** Time in ms that the router gets to start, so that the cache contains all code run at startup. */
    const WARM_UP_MS = 1_500;
    setTimeout(() => {
        writeFileSync(cache, script.createCachedData());
        process.exit(0);
    }, WARM_UP_MS);
}
