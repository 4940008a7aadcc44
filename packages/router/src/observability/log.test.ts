import { afterEach, describe, expect, it, vi } from "vitest";
import { createLogs } from "./log.js";

describe("log lines", () => {
    afterEach(() => void vi.restoreAllMocks());

    it("have their time, level, part, sentence and fields, and nothing else", () => {
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

    it("are left out below the level of the settings", () => {
        const write = vi.spyOn(process.stdout, "write").mockReturnValue(true);
        createLogs({ level: "warn", format: "json" }).host.info("Started.");
        expect(write).not.toHaveBeenCalled();
    });
});
