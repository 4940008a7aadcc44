import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { Agent, type Dispatcher, request } from "undici";
import { AddressBook } from "./address-book.js";
import { createStreamReader, createStreamState, type RefusalBody, type StreamState } from "./model-stream.js";
import type {
    CallFailure,
    CallOutcome,
    ClientSettings,
    ModelAnswer,
    ModelCall,
    ServiceAnswer,
    ServiceCall,
} from "./types.js";

const DEFAULT_TIMEOUT_MS = 120_000;
const DEFAULT_SILENCE_MS = 10_000;
const DEFAULT_ATTEMPTS = 8;
const LONGEST_PAUSE_MS = 2_000;
const SHORTEST_PAUSE_MS = 50;
const SILENCE_CHECKS = 4;

/** How one attempt ended. */
type Attempt<Answer> =
    | { readonly kind: "answered"; readonly answer: Answer; }
    | { readonly kind: "refused"; readonly refusal: RefusalBody; }
    /** sent is false when the request surely did not reach the router. */
    | { readonly kind: "lost"; readonly sent: boolean; };

type Progress = {
    readonly key: string;
    readonly deadline: number;
    attempts: number;
    /** Attempts that surely did not run, from the first on without a gap. */
    notRunThrough: number;
    outcome: CallOutcome;
};

/**
 * Calls a fleet of routers: asks for addresses, retries by key with attempt numbers, continues streams
 * by offset, checks the end mark, and tells truthfully whether a failed call may have run.
 */
export class GooseberrybendClient {
    private readonly book: AddressBook;
    private agent = new Agent();

    constructor(private readonly settings: ClientSettings) {
        this.book = new AddressBook(settings.routers, settings.credential);
    }

    /** Closes all connections. */
    async close(): Promise<void> {
        await this.agent.destroy();
    }

    /** Runs a chat completion and returns its whole text. */
    async complete(call: ModelCall): Promise<Result<ModelAnswer, CallFailure>> {
        const startedAt = Date.now();
        const state = createStreamState();
        const body = JSON.stringify({
            model: call.model,
            messages: call.messages,
            max_tokens: call.maxTokens,
            stream: true,
        });
        const attempt = (address: string, progress: Progress): Promise<Attempt<StreamState>> =>
            this.streamOnce(address, body, call, state, progress);
        const result = await this.repeat(call.key ?? randomUUID(), attempt);
        return result.map(({ answer, progress }) => ({
            key: progress.key,
            text: answer.texts.join(""),
            chunks: answer.next,
            attempts: progress.attempts,
            restarts: answer.restarts,
            firstChunkMs: (answer.firstChunkAt ?? startedAt) - startedAt,
            longestGapMs: answer.longestGapMs,
        }));
    }

    /**
     * Calls a plain service and returns its answer, whatever its status. A call that may not be repeated is tried
     * again under its key, too: the fleet runs such a key at most once, and says so if it has.
     */
    async call(call: ServiceCall): Promise<Result<ServiceAnswer, CallFailure>> {
        const attempt = (address: string, progress: Progress): Promise<Attempt<Omit<ServiceAnswer, "attempts">>> =>
            this.callOnce(address, call, progress);
        const result = await this.repeat(call.key ?? randomUUID(), attempt);
        return result.map(({ answer, progress }) => ({ ...answer, attempts: progress.attempts }));
    }

    private async repeat<Answer>(
        key: string,
        attempt: (address: string, progress: Progress) => Promise<Attempt<Answer>>,
    ): Promise<Result<{ answer: Answer; progress: Progress; }, CallFailure>> {
        const deadline = Date.now() + (this.settings.timeoutMs ?? DEFAULT_TIMEOUT_MS);
        const progress: Progress = { key, deadline, attempts: 0, notRunThrough: 0, outcome: "not-run" };
        const mostAttempts = this.settings.mostAttempts ?? DEFAULT_ATTEMPTS;
        let last: RefusalBody | undefined;
        while (Date.now() < deadline) {
            const addresses = await this.book.current(Date.now(), this.agent);
            const address = addresses[0]!;
            progress.attempts++;
            const ended = await attempt(address, progress);
            if (ended.kind === "answered") {
                return ok({ answer: ended.answer, progress });
            }
            noteOutcome(progress, ended);
            if (ended.kind === "lost" && ended.sent) {
                this.settings.onLost?.(address, key);
            }
            last = ended.kind === "refused" ? ended.refusal : undefined;
            const final = last !== undefined && isFinal(last);
            if (final || progress.attempts >= mostAttempts) {
                return err(failureOf(progress, last));
            }
            this.leave(address, ended.kind === "lost");
            await sleep(pauseBefore(progress.attempts, last));
        }
        return err({ ...failureOf(progress, last), kind: "deadline" });
    }

    // Connections that are older than a failure are not trusted again.
    private leave(address: string, lost: boolean): void {
        this.book.demote(address);
        if (lost) {
            const old = this.agent;
            this.agent = new Agent();
            old.close().catch(() => undefined);
        }
    }

    private async streamOnce(
        address: string,
        body: string,
        call: ModelCall,
        state: StreamState,
        progress: Progress,
    ): Promise<Attempt<StreamState>> {
        const headers = this.headersOf(progress);
        if (state.resumeToken !== undefined) {
            headers["gooseberrybend-resume"] = state.resumeToken;
            headers["gooseberrybend-offset"] = String(state.next);
        }
        state.refusal = undefined;
        const silence = createSilence(this.settings.silenceMs ?? DEFAULT_SILENCE_MS, progress.deadline);
        try {
            const url = `${address}/v1/chat/completions`;
            const options = { method: "POST", headers, body, signal: silence.signal, dispatcher: this.agent } as const;
            const response = await request(url, options);
            if (response.statusCode !== 200) {
                return await readRefusal(response);
            }
            beginStream(response, state);
            await this.readStream(response, state, call, silence.heard);
        }
        catch (error) {
            return { kind: "lost", sent: wasSent(error) };
        }
        finally {
            silence.end();
        }
        if (state.refusal !== undefined) {
            return { kind: "refused", refusal: state.refusal };
        }
        return state.ended ? { kind: "answered", answer: state } : { kind: "lost", sent: true };
    }

    private async readStream(
        response: Dispatcher.ResponseData,
        state: StreamState,
        call: ModelCall,
        heard: () => void,
    ): Promise<void> {
        const read = createStreamReader(state, call, Date.now);
        const decoder = new TextDecoder();
        for await (const piece of response.body) {
            heard();
            read(decoder.decode(piece as Buffer, { stream: true }));
        }
    }

    private async callOnce(
        address: string,
        call: ServiceCall,
        progress: Progress,
    ): Promise<Attempt<Omit<ServiceAnswer, "attempts">>> {
        const silence = createSilence(this.settings.silenceMs ?? DEFAULT_SILENCE_MS, progress.deadline);
        try {
            const response = await request(`${address}/v1/services/${call.service}${call.path}`, {
                method: call.method,
                headers: this.headersOf(progress),
                ...(call.body === undefined ? {} : { body: call.body }),
                signal: silence.signal,
                dispatcher: this.agent,
            });
            const body = Buffer.from(await response.body.arrayBuffer());
            const refusal = response.statusCode >= 400 ? parseRefusal(body) : undefined;
            if (refusal !== undefined) {
                return { kind: "refused", refusal };
            }
            return { kind: "answered", answer: { key: progress.key, status: response.statusCode, body } };
        }
        catch (error) {
            return { kind: "lost", sent: wasSent(error) };
        }
        finally {
            silence.end();
        }
    }

    private headersOf(progress: Progress): Record<string, string> {
        return {
            "authorization": `Bearer ${this.settings.credential}`,
            "content-type": "application/json",
            "idempotency-key": progress.key,
            "gooseberrybend-attempt": String(progress.attempts),
            "gooseberrybend-not-run-through": String(progress.notRunThrough),
            "gooseberrybend-timeout-ms": String(Math.max(1, progress.deadline - Date.now())),
            "gooseberrybend-client": "1",
            ...(this.settings.budget === undefined ? {} : { "gooseberrybend-budget": this.settings.budget }),
        };
    }
}

type Silence = { readonly signal: AbortSignal; readonly heard: () => void; readonly end: () => void; };

function createSilence(silenceMs: number, deadline: number): Silence {
    const controller = new AbortController();
    let heardAt = Date.now();
    const timer = setInterval(() => {
        const now = Date.now();
        if (now - heardAt > silenceMs || now > deadline) {
            controller.abort();
        }
    }, silenceMs / SILENCE_CHECKS);
    return {
        signal: controller.signal,
        heard() {
            heardAt = Date.now();
        },
        end: () => clearInterval(timer),
    };
}

function beginStream(response: Dispatcher.ResponseData, state: StreamState): void {
    const token = response.headers["gooseberrybend-resume"];
    if (typeof token === "string") {
        state.resumeToken = token;
    }
}

async function readRefusal(response: Dispatcher.ResponseData): Promise<Attempt<never>> {
    const refusal = parseRefusal(Buffer.from(await response.body.arrayBuffer()));
    return refusal === undefined ? { kind: "lost", sent: true } : { kind: "refused", refusal };
}

function parseRefusal(body: Buffer): RefusalBody | undefined {
    try {
        const parsed = JSON.parse(body.toString()) as { error?: RefusalBody; };
        return parsed.error?.outcome === undefined ? undefined : parsed.error;
    }
    catch {
        return undefined;
    }
}

function wasSent(error: unknown): boolean {
    const code = (error as { code?: string; }).code;
    return code !== "ECONNREFUSED" && code !== "UND_ERR_CONNECT_TIMEOUT";
}

function noteOutcome(progress: Progress, ended: Exclude<Attempt<unknown>, { kind: "answered"; }>): void {
    const outcome = ended.kind === "refused" ? ended.refusal.outcome : ended.sent ? "may-have-run" : "not-run";
    if (outcome === "ran" || progress.outcome === "not-run") {
        progress.outcome = outcome;
    }
    if (progress.outcome === "not-run") {
        progress.notRunThrough = progress.attempts;
    }
}

const finalReasons = new Set([
    "account-unknown",
    "bad-request",
    "budget-exhausted",
    "claimed-elsewhere",
    "key-reused",
    "poison-request",
]);

function isFinal(refusal: RefusalBody): boolean {
    return finalReasons.has(refusal.type);
}

function failureOf(progress: Progress, refusal: RefusalBody | undefined): CallFailure {
    return {
        kind: refusal === undefined ? "no-router" : "refused",
        reason: refusal?.type,
        outcome: progress.outcome,
        retryAfterMs: refusal?.retryAfterMs ?? LONGEST_PAUSE_MS,
        attempts: progress.attempts,
    };
}

function pauseBefore(attempts: number, refusal: RefusalBody | undefined): number {
    const backoff = Math.min(LONGEST_PAUSE_MS, SHORTEST_PAUSE_MS * 2 ** attempts) * (0.5 + Math.random() / 2);
    return Math.max(backoff, Math.min(refusal?.retryAfterMs ?? 0, LONGEST_PAUSE_MS));
}
