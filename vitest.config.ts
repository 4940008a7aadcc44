import { defineConfig } from "vitest/config";

const testTimeout = 60_000;
const hostileClients = "platform/src/hostile-clients.test.ts";

export default defineConfig({
    test: {
        projects: [
            {
                test: {
                    name: "all",
                    include: ["packages/*/src/**/*.test.ts", "platform/src/**/*.test.ts"],
                    exclude: [hostileClients],
                    testTimeout,
                    sequence: { groupOrder: 0 },
                },
            },
            {
                // Measures the memory of a process: alone, after all others, so that no other load adds to it.
                test: {
                    name: "hostile-clients",
                    include: [hostileClients],
                    testTimeout,
                    fileParallelism: false,
                    sequence: { groupOrder: 1 },
                },
            },
        ],
    },
});
