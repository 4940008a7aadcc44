import { type CallFailure, GooseberrybendClient } from "@gooseberrybend/client";
import { createRandom, type Random, randomBelow, randomFraction } from "@gooseberrybend/core";
import { build, type Histogram } from "hdr-histogram-js";
import { randomUUID } from "node:crypto";
import { answerWords } from "../model-engine/engine.js";

/** The callers of one client account, and the calls that they make. */
export type LoadAccount = {
    readonly account: string;
    readonly credential: string;
    readonly model: string;
    readonly service: string;
    /** Path of an idempotent call. */
    readonly lookupPath: string;
    /** Path of a call that is not idempotent. */
    readonly actionPath: string;
    readonly callers: number;
};

/** Settings of a load generator. Times in ms. */
export type LoadSettings = {
    readonly routers: readonly string[];
    readonly accounts: readonly LoadAccount[];
    readonly maxTokens: number;
    readonly meanPauseMs: number;
    readonly modelShare: number;
    readonly actionShare: number;
    readonly timeoutMs: number;
    readonly seed: number;
    readonly onLost: (router: string, key: string) => void;
};

/** Result of one request, as observed by its caller. */
export type CallRecord = {
    readonly account: string;
    readonly key: string;
    readonly kind: "model" | "lookup" | "action";
    readonly result: "whole" | "broken" | "refused";
    readonly failure: CallFailure | undefined;
    readonly attempts: number;
    readonly elapsedMs: number;
};

/** Runs callers that send requests until they are stopped, and records the results. */
export class LoadGenerator {
    readonly records: CallRecord[] = [];
    readonly firstChunk: Histogram = build({ highestTrackableValue: 600_000 });
    readonly elapsed: Histogram = build({ highestTrackableValue: 600_000 });
    private stopped = false;
    private readonly callerLoops: Promise<void>[] = [];

    constructor(private readonly settings: LoadSettings) {}

    /** Starts the callers. */
    start(): void {
        let seed = this.settings.seed;
        for (const account of this.settings.accounts) {
            for (let index = 0; index < account.callers; index++) {
                this.callerLoops.push(this.runCaller(account, createRandom(seed++)));
            }
        }
    }

    /** Stops the callers; resolves when each has finished its current request. */
    async stop(): Promise<void> {
        this.stopped = true;
        await Promise.all(this.callerLoops);
    }

    private async runCaller(account: LoadAccount, random: Random): Promise<void> {
        const client = new GooseberrybendClient({
            routers: this.settings.routers,
            credential: account.credential,
            timeoutMs: this.settings.timeoutMs,
            silenceMs: 6_000,
            onLost: this.settings.onLost,
        });
        while (!this.stopped) {
            const draw = randomFraction(random);
            const startedAt = Date.now();
            const key = randomUUID();
            if (draw < this.settings.modelShare) {
                await this.callModel(client, account, key, random, startedAt);
            }
            else {
                const isAction = draw < this.settings.modelShare + this.settings.actionShare;
                await this.callService(client, account, key, isAction, startedAt);
            }
            this.elapsed.recordValue(Date.now() - startedAt);
            await new Promise((resolve) =>
                setTimeout(resolve, this.settings.meanPauseMs * (0.5 + randomFraction(random)))
            );
        }
        await client.close();
    }

    private async callModel(
        client: GooseberrybendClient,
        account: LoadAccount,
        key: string,
        random: Random,
        startedAt: number,
    ): Promise<void> {
        const prompt = `Review the history of die ${randomBelow(random, 1000)}. `.repeat(1 + randomBelow(random, 4))
            + key;
        const messages = [{ role: "user", content: prompt }];
        const result = await client.complete({
            model: account.model,
            messages,
            maxTokens: this.settings.maxTokens,
            key,
        });
        if (result.isErr()) {
            this.addRecord(account, key, "model", "refused", result.error, result.error.attempts, startedAt);
            return;
        }
        const answer = result.value;
        const isWhole = answer.text === answerWords(prompt, answer.chunks - 1).join("");
        this.firstChunk.recordValue(answer.firstChunkMs);
        this.addRecord(account, key, "model", isWhole ? "whole" : "broken", undefined, answer.attempts, startedAt);
    }

    private async callService(
        client: GooseberrybendClient,
        account: LoadAccount,
        key: string,
        isAction: boolean,
        startedAt: number,
    ): Promise<void> {
        const result = await client.call({
            service: account.service,
            method: isAction ? "POST" : "GET",
            path: isAction ? account.actionPath : account.lookupPath,
            ...(isAction ? { body: JSON.stringify({ key }) } : {}),
            key,
        });
        const kind = isAction ? "action" : "lookup";
        if (result.isErr()) {
            this.addRecord(account, key, kind, "refused", result.error, result.error.attempts, startedAt);
            return;
        }
        const isWhole = result.value.status === 200
            && (JSON.parse(result.value.body.toString()) as { key: string; }).key === key;
        this.addRecord(account, key, kind, isWhole ? "whole" : "broken", undefined, result.value.attempts, startedAt);
    }

    private addRecord(
        account: LoadAccount,
        key: string,
        kind: CallRecord["kind"],
        result: CallRecord["result"],
        failure: CallFailure | undefined,
        attempts: number,
        startedAt: number,
    ): void {
        const elapsedMs = Date.now() - startedAt;
        this.records.push({ account: account.account, key, kind, result, failure, attempts, elapsedMs });
    }
}
