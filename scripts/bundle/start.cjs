// Starts the bundle beside this file with its code cache, which spares compiling it at each start.
"use strict";
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
    process.stderr.write(`The code cache ${cache} is missing, or of another version or other flags of Node.js; starting without.\n`);
}
script.runInThisContext()(exports, require, module);

if (writesCache) {
    /** Time in ms for the router to start, so that the cache holds all that a start runs. */
    const WARM_UP_MS = 1_500;
    setTimeout(() => {
        writeFileSync(cache, script.createCachedData());
        process.exit(0);
    }, WARM_UP_MS);
}
