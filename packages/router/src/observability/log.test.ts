import { afterEach, describe, expect, it, vi } from "vitest";
import { createLogs } from "./log.js";

describe("log lines", () => {
    afterEach(() => void vi.restoreAllMocks());

    it("contain the time, level, part, message and fields, and nothing else", () => {
        const write = vi.spyOn(process.stdout, "write").mockReturnValue(true);
        createLogs({ level: "info", format: "json" }).admission.info("Refused.", { key: "k", reason: "overloaded" });
        const line = JSON.parse(String(write.mock.calls[0]![0])) as object;
        expect(line).toEqual({
            at: expect.any(String),
            level: "INFO",
            part: "admission",
            message: "Refused.",
            key: "k",
            reason: "overloaded",
        });
    });

    it("are omitted below the level in the settings", () => {
        const write = vi.spyOn(process.stdout, "write").mockReturnValue(true);
        createLogs({ level: "warn", format: "json" }).host.info("Started.");
        expect(write).not.toHaveBeenCalled();
    });
});
