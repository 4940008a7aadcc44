// Bundles the router for the platform into one file, so that a start reads one module.
import { build } from "esbuild";

const packages = ["core", "router"];

const result = await build({
    entryPoints: ["platform/src/main.ts"],
    outfile: process.argv[2] ?? "target/router.mjs",
    bundle: true,
    platform: "node",
    format: "esm",
    // The CommonJS builds of some packages load their parts by computed paths.
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
    // Nest loads these only when they are installed.
    external: ["@nestjs/platform-express", "@nestjs/websockets*", "@nestjs/microservices*", "class-validator", "class-transformer", "@fastify/view", "@fastify/static"],
    banner: { js: "import { createRequire } from \"node:module\"; const require = createRequire(import.meta.url);" },
});
if (process.argv.includes("--sizes")) {
    const outputs = Object.values(result.metafile.outputs)[0].inputs;
    const sizes = Object.entries(outputs).map(([file, { bytesInOutput }]) => [bytesInOutput, file]);
    for (const [bytes, file] of sizes.sort((one, other) => other[0] - one[0]).slice(0, 30)) {
        console.log(bytes, file);
    }
}
