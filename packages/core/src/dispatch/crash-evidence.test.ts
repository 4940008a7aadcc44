import { beforeEach, describe, expect, it } from "vitest";
import { type BodyDigest, brand } from "../types/ids.js";
import {
    addSuspect,
    convictedParts,
    crashCount,
    type CrashEvidence,
    createCrashEvidence,
    isRefutable,
    nextTrialAt,
    recordCompletion,
    recordTrial,
    refute,
} from "./crash-evidence.js";
import type { PromptPartId } from "./types.js";

const system = brand<PromptPartId>("system");
const poison = brand<PromptPartId>("poison");
const session = brand<PromptPartId>("session");
const MEMORY_MS = 600_000;

// Guards against incident BUDGET, prompt parts: requests that share a part crash endpoints, no two of them alike.
describe("evidence against the features of requests", () => {
    let evidence: CrashEvidence;
    let requestCount = 0;

    beforeEach(() => {
        evidence = createCrashEvidence();
    });

    const crash = (start: string, at: number, ...parts: PromptPartId[]): void => {
        const request = brand<BodyDigest>(`request-${++requestCount}`);
        addSuspect(evidence, { request, parts }, { start, isTimed: true }, at);
    };
    const convicted = (now: number): PromptPartId[] => [...convictedParts(evidence, now)];

    describe("a part in three crashes", () => {
        it("is convicted, though every request was another", () => {
            crash("e1", 0, system, poison);
            crash("e2", 1_000, system, poison);
            expect(convicted(1_000)).toEqual([]);
            crash("e3", 2_000, system, poison);
            expect(convicted(2_000)).toEqual([poison]);
        });

        it("is convicted instead of the parts that always come before it", () => {
            ["e1", "e2", "e3"].forEach((start, index) => crash(start, index * 1_000, system, poison));
            crash("e4", 9_000, system);
            expect(convicted(9_000)).toEqual([poison]);
        });

        it("is convicted once, however many routers report each crash", () => {
            for (let report = 0; report < 5; report++) {
                crash("e1", report, poison);
                crash("e2", 1_000 + report, poison);
            }
            expect(convicted(1_100)).toEqual([]);
        });

        it("is convicted beside another one that crashes endpoints as well", () => {
            const other = brand<PromptPartId>("other");
            ["e1", "e2", "e3"].forEach((start, index) => crash(start, index * 1_000, system, poison));
            ["e4", "e5", "e6"].forEach((start, index) => crash(start, 500 + index * 1_000, system, other));
            expect(convicted(5_000).sort()).toEqual([other, poison]);
        });

        it("is convicted before all endpoints are back if its requests crash all of them within moments", () => {
            for (let index = 0; index < 8; index++) {
                crash(`e${index}`, index * 100, system, poison);
            }
            expect(convicted(1_000)).toEqual([poison]);
        });

        it("is not convicted if one request had it in all of them", () => {
            for (const [index, start] of ["e1", "e2", "e3"].entries()) {
                const features = { request: brand<BodyDigest>("repeated"), parts: [system, session] };
                addSuspect(evidence, features, { start, isTimed: true }, index * 1_000);
            }
            expect(convicted(3_000)).toEqual([]);
            expect(crashCount(evidence, brand<BodyDigest>("repeated"), 3_000)).toBe(3);
        });

        it("is forgotten some time after its last crash", () => {
            ["e1", "e2", "e3"].forEach((start, index) => crash(start, index * 300_000, poison));
            expect(convicted(600_000 + MEMORY_MS - 1)).toEqual([poison]);
            expect(convicted(600_000 + MEMORY_MS)).toEqual([]);
        });
    });

    describe("a part of sound requests", () => {
        it("is not convicted if requests with it complete in between", () => {
            for (const [index, start] of ["e1", "e2", "e3", "e4", "e5", "e6"].entries()) {
                crash(start, index * 1_000, system, poison);
                recordCompletion(evidence, [system], index * 1_000 + 100);
            }
            expect(convicted(6_000)).toEqual([poison]);
        });

        it("is released once crashes without it show that another part caused those with it", () => {
            ["e1", "e2", "e3"].forEach((start, index) => {
                crash(start, index * 1_000, system, poison);
                crash(start, index * 1_000, system, session);
            });
            crash("e4", 4_000, system, poison);
            expect(convicted(4_000)).toEqual([poison]);
        });

        it("is not convicted if many endpoints end together", () => {
            for (let index = 0; index < 20; index++) {
                crash(`e${index}`, index * 20, system, session);
            }
            expect(convicted(1_000)).toEqual([]);
        });

        it("is not convicted if the endpoints that end together had others of its requests only", () => {
            for (let failure = 0; failure < 4; failure++) {
                crash(`e${failure}`, failure * 5_000, system, session);
                crash(`f${failure}`, failure * 5_000 + 100, system);
                recordCompletion(evidence, [system], failure * 5_000 + 400);
            }
            expect(convicted(20_000)).toEqual([]);
        });

        it("is not convicted if the registrations of all endpoints expire one by one", () => {
            for (let index = 0; index < 6; index++) {
                addSuspect(
                    evidence,
                    { request: brand<BodyDigest>(`${index}`), parts: [system] },
                    { start: `e${index}`, isTimed: false },
                    index * 250,
                );
            }
            expect(convicted(5_000)).toEqual([]);
        });
    });

    describe("that is refuted", () => {
        it("is told to other routers once two crashes count against the feature there", () => {
            crash("e1", 0, system);
            expect(recordCompletion(evidence, [system], 100)).toEqual([]);
            crash("e2", 1_000, system);
            expect(isRefutable(evidence, system)).toBe(false);
            expect(recordCompletion(evidence, [system], 1_100)).toEqual([system]);
            refute(evidence, system, 1_200);
            expect(recordCompletion(evidence, [system], 1_300)).toEqual([]);
        });

        it("is not counted again by reports of the same crashes that arrive later", () => {
            for (const [index, start] of ["e1", "e2", "e3"].entries()) {
                crash(start, index * 1_000, session);
                recordCompletion(evidence, [session], index * 1_000 + 300);
                crash(start, index * 1_000 + 600, session);
            }
            expect(convicted(3_000)).toEqual([]);
        });

        it("no longer convicts the feature", () => {
            ["e1", "e2", "e3"].forEach((start, index) => crash(start, index * 1_000, poison));
            refute(evidence, poison, 2_500);
            expect(convicted(3_000)).toEqual([]);
        });
    });

    describe("trials of a convicted part", () => {
        it("become rarer with each crash, and come again and again", () => {
            ["e1", "e2", "e3"].forEach((start, index) => crash(start, index * 1_000, poison));
            expect(nextTrialAt(evidence, poison, 2_000)).toBe(32_000);
            recordTrial(evidence, poison, 32_000);
            expect(nextTrialAt(evidence, poison, 32_000)).toBe(62_000);
            crash("e4", 32_100, poison);
            expect(nextTrialAt(evidence, poison, 32_100)).toBe(152_100);
            ["e5", "e6", "e7"].forEach((start, index) => crash(start, 160_000 + index * 1_000, poison));
            expect(nextTrialAt(evidence, poison, 162_000)).toBe(162_000 + 240_000);
        });
    });

    describe("of very many requests", () => {
        it("is bounded, and keeps features with several crashes", () => {
            ["e1", "e2", "e3"].forEach((start, index) => crash(start, index * 1_000, poison));
            for (let index = 0; index < 12_000; index++) {
                crash("e4", 3_000, brand<PromptPartId>(`part-${index}`));
            }
            expect(evidence.features.size).toBeLessThanOrEqual(5_000);
            expect(convicted(3_000)).toEqual([poison]);
        });
    });
});
