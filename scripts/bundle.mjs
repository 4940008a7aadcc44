// Bundles the router for the platform. FILE, the first argument, starts it; FILE.bundle and FILE.cache hold its code.
// Run with the same Node.js flags as the router: the code cache is valid only for these.
import { build } from "esbuild";
import { spawnSync } from "node:child_process";
import { copyFileSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";

const packages = ["core", "router"];
const file = process.argv[2] ?? "target/router.cjs";

const result = await build({
    entryPoints: ["platform/src/main.ts"],
    outfile: `${file}.bundle`,
    bundle: true,
    platform: "node",
    format: "cjs",
    // Identifiers are not minified: NestJS finds classes by name, and stack traces show them.
    minifyWhitespace: true,
    minifySyntax: true,
    legalComments: "none",
    // The CommonJS builds of some packages require files by computed paths, which can't be bundled.
    mainFields: ["module", "main"],
    metafile: true,
    target: "node20",
    sourcemap: false,
    logLevel: "warning",
    tsconfig: "tsconfig.base.json",
    alias: {
        ...Object.fromEntries(packages.map((name) => [`@gooseberrybend/${name}`, `./packages/${name}/src/index.ts`])),
        "@gooseberrybend/core/dispatch": "./packages/core/src/dispatch/index.ts",
        "@gooseberrybend/router/gateway": "./packages/router/src/gateway/index.ts",
    },
    plugins: [{
        name: "parts of undici",
        setup: ({ onResolve }) => onResolve({ filter: /^undici$/ }, () => ({ path: resolve("scripts/bundle/undici.cjs") })),
    }],
    // Optional dependencies of NestJS, loaded only if installed.
    external: ["@nestjs/platform-express", "@nestjs/websockets*", "@nestjs/microservices*", "class-validator", "class-transformer", "@fastify/view", "@fastify/static"],
});
copyFileSync("scripts/bundle/start.cjs", file);
writeCodeCache();
if (process.argv.includes("--sizes")) {
    const outputs = Object.values(result.metafile.outputs)[0].inputs;
    const sizes = Object.entries(outputs).map(([input, { bytesInOutput }]) => [bytesInOutput, input]);
    for (const [bytes, input] of sizes.sort((one, other) => other[0] - one[0]).slice(0, 30)) {
        console.log(bytes, input);
    }
}

// Starts the router once on free ports and without a store, so that the cache contains the code run at startup.
function writeCodeCache() {
    const folder = mkdtempSync(join(tmpdir(), "router-"));
    const settings = join(folder, "settings.jsonc");
    const freePort = "127.0.0.1:0";
    const listen = { callers: freePort, ready: freePort, addresses: freePort, metrics: freePort, peers: freePort };
    const store = { address: "127.0.0.1:1" };
    writeFileSync(settings, JSON.stringify({ name: "build", domain: "build", listen, store, log: { level: "error" } }));
    const args = [...process.execArgv, file, "--write-cache", "--settings", settings];
    const run = spawnSync(process.execPath, args, { stdio: "inherit" });
    rmSync(folder, { recursive: true });
    if (run.status !== 0) {
        throw new Error(`No code cache was written for ${file}: the router exited with ${run.status ?? run.signal}.`);
    }
}
