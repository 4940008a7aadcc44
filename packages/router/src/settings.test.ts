import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { readSettings } from "./settings.js";

const platform = { keyValue: "http://127.0.0.1:2379" };
const valid = { listen: { port: 7001 }, domain: "r/a", platform };

describe("settings", () => {
    let folder = "";
    beforeEach(() => {
        folder = mkdtempSync(join(tmpdir(), "settings-"));
    });
    afterEach(() => rmSync(folder, { recursive: true }));

    function read(text: string): ReturnType<typeof readSettings> {
        const file = join(folder, "router.jsonc");
        writeFileSync(file, text);
        return readSettings(file);
    }

    it("listen on loopback by default", () => {
        expect(read(JSON.stringify(valid))._unsafeUnwrap().listen.address).toBe("127.0.0.1");
    });

    it("require keys for an address other than loopback", () => {
        const open = { ...valid, listen: { address: "10.0.0.1", port: 7001 } };
        expect(read(JSON.stringify(open))._unsafeUnwrapErr()[0]!.message).toContain("keys");
        const keys = { peer: "p".repeat(16), operator: "o".repeat(16), resume: "r".repeat(16) };
        expect(read(JSON.stringify({ ...open, keys })).isOk()).toBe(true);
    });

    it("report the line and column of an error", () => {
        const text =
            '{\n  "listen": { "port": "7001" },\n  "domain": "r/a",\n  "platform": { "keyValue": "http://127.0.0.1:1" }\n}';
        expect(read(text)._unsafeUnwrapErr()[0]).toMatchObject({ line: 2, column: 23 });
    });

    it("report a missing file", () => {
        expect(readSettings(join(folder, "none"))._unsafeUnwrapErr()[0]!.message).toContain("ENOENT");
    });
});
