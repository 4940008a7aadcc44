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
const DEFAULT_MAX_ATTEMPTS = 8;
const MAX_RETRY_DELAY_MS = 2_000;
const MIN_RETRY_DELAY_MS = 50;
const CHECKS_PER_SILENCE_PERIOD = 4;

/** Result of one attempt. */
type AttemptResult<Answer> =
    | { readonly kind: "answered"; readonly answer: Answer; }
    | { readonly kind: "refused"; readonly refusal: RefusalBody; }
    /** `sent` is false if the request cannot have reached the router. */
    | { readonly kind: "lost"; readonly sent: boolean; };

type CallProgress = {
    readonly key: string;
    readonly deadline: number;
    attempts: number;
    /** Attempts from 1 up to this number surely did not run. */
    notRunThrough: number;
    outcome: CallOutcome;
};

/**
 * Client for a fleet of routers. Discovers router addresses, retries under one idempotency key with attempt
 * numbers, resumes streams by offset and checks that they are complete. Reports whether a failed call may have run.
 */
export class GooseberrybendClient {
    private readonly addressBook: AddressBook;
    private agent = new Agent();

    constructor(private readonly settings: ClientSettings) {
        this.addressBook = new AddressBook(settings.routers, settings.credential);
    }

    /** Closes all connections. */
    async close(): Promise<void> {
        await this.agent.destroy();
    }

    /** Runs a chat completion and returns its complete text. */
    async complete(call: ModelCall): Promise<Result<ModelAnswer, CallFailure>> {
        const startedAt = Date.now();
        const state = createStreamState();
        const body = JSON.stringify({
            model: call.model,
            messages: call.messages,
            max_tokens: call.maxTokens,
            stream: true,
        });
        const attempt = (address: string, progress: CallProgress): Promise<AttemptResult<StreamState>> =>
            this.streamOnce(address, body, call, state, progress);
        const result = await this.runWithRetries(call.key ?? randomUUID(), attempt);
        return result.map(({ answer, progress }) => ({
            key: progress.key,
            text: answer.texts.join(""),
            chunks: answer.nextOffset,
            attempts: progress.attempts,
            restarts: answer.restarts,
            firstChunkMs: (answer.firstChunkAt ?? startedAt) - startedAt,
            longestGapMs: answer.longestGapMs,
        }));
    }

    /**
     * Calls a plain service and returns its answer, whatever its status. Calls that are not idempotent are retried
     * under their key, too: the fleet runs such a key at most once and reports if it has already run.
     */
    async call(call: ServiceCall): Promise<Result<ServiceAnswer, CallFailure>> {
        const attempt = (
            address: string,
            progress: CallProgress,
        ): Promise<AttemptResult<Omit<ServiceAnswer, "attempts">>> => this.callOnce(address, call, progress);
        const result = await this.runWithRetries(call.key ?? randomUUID(), attempt);
        return result.map(({ answer, progress }) => ({ ...answer, attempts: progress.attempts }));
    }

    private async runWithRetries<Answer>(
        key: string,
        attempt: (address: string, progress: CallProgress) => Promise<AttemptResult<Answer>>,
    ): Promise<Result<{ answer: Answer; progress: CallProgress; }, CallFailure>> {
        const deadline = Date.now() + (this.settings.timeoutMs ?? DEFAULT_TIMEOUT_MS);
        const progress: CallProgress = { key, deadline, attempts: 0, notRunThrough: 0, outcome: "not-run" };
        const maxAttempts = this.settings.mostAttempts ?? DEFAULT_MAX_ATTEMPTS;
        let lastRefusal: RefusalBody | undefined;
        while (Date.now() < deadline) {
            const addresses = await this.addressBook.current(Date.now(), this.agent);
            const address = addresses[0]!;
            progress.attempts++;
            const result = await attempt(address, progress);
            if (result.kind === "answered") {
                return ok({ answer: result.answer, progress });
            }
            recordOutcome(progress, result);
            if (result.kind === "lost" && result.sent) {
                this.settings.onLost?.(address, key);
            }
            lastRefusal = result.kind === "refused" ? result.refusal : undefined;
            const final = lastRefusal !== undefined && isFinal(lastRefusal);
            if (final || progress.attempts >= maxAttempts) {
                return err(createFailure(progress, lastRefusal));
            }
            this.demoteRouter(address, result.kind === "lost");
            await sleep(retryDelayMs(progress.attempts, lastRefusal));
        }
        return err({ ...createFailure(progress, lastRefusal), kind: "deadline" });
    }

    // Connections opened before a connection loss are not used again.
    private demoteRouter(address: string, connectionLost: boolean): void {
        this.addressBook.demote(address);
        if (connectionLost) {
            const previousAgent = this.agent;
            this.agent = new Agent();
            previousAgent.close().catch(() => undefined);
        }
    }

    private async streamOnce(
        address: string,
        body: string,
        call: ModelCall,
        state: StreamState,
        progress: CallProgress,
    ): Promise<AttemptResult<StreamState>> {
        const headers = this.headersOf(progress);
        if (state.resumeToken !== undefined) {
            headers["gooseberrybend-resume"] = state.resumeToken;
            headers["gooseberrybend-offset"] = String(state.nextOffset);
        }
        state.refusal = undefined;
        const inactivityTimer = startInactivityTimer(this.settings.silenceMs ?? DEFAULT_SILENCE_MS, progress.deadline);
        try {
            const url = `${address}/v1/chat/completions`;
            const options = {
                method: "POST",
                headers,
                body,
                signal: inactivityTimer.signal,
                dispatcher: this.agent,
            } as const;
            const response = await request(url, options);
            if (response.statusCode !== 200) {
                return await readRefusal(response);
            }
            readResumeToken(response, state);
            await this.readStream(response, state, call, inactivityTimer.recordActivity);
        }
        catch (error) {
            return { kind: "lost", sent: mayHaveBeenSent(error) };
        }
        finally {
            inactivityTimer.stop();
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
        onActivity: () => void,
    ): Promise<void> {
        const feed = createStreamReader(state, call, Date.now);
        const decoder = new TextDecoder();
        for await (const piece of response.body) {
            onActivity();
            feed(decoder.decode(piece as Buffer, { stream: true }));
        }
    }

    private async callOnce(
        address: string,
        call: ServiceCall,
        progress: CallProgress,
    ): Promise<AttemptResult<Omit<ServiceAnswer, "attempts">>> {
        const inactivityTimer = startInactivityTimer(this.settings.silenceMs ?? DEFAULT_SILENCE_MS, progress.deadline);
        try {
            const response = await request(`${address}/v1/services/${call.service}${call.path}`, {
                method: call.method,
                headers: this.headersOf(progress),
                ...(call.body === undefined ? {} : { body: call.body }),
                signal: inactivityTimer.signal,
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
            return { kind: "lost", sent: mayHaveBeenSent(error) };
        }
        finally {
            inactivityTimer.stop();
        }
    }

    private headersOf(progress: CallProgress): Record<string, string> {
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

type InactivityTimer = {
    readonly signal: AbortSignal;
    readonly recordActivity: () => void;
    readonly stop: () => void;
};

function startInactivityTimer(silenceMs: number, deadline: number): InactivityTimer {
    const controller = new AbortController();
    let lastActivityAt = Date.now();
    const timer = setInterval(() => {
        const now = Date.now();
        if (now - lastActivityAt > silenceMs || now > deadline) {
            controller.abort();
        }
    }, silenceMs / CHECKS_PER_SILENCE_PERIOD);
    return {
        signal: controller.signal,
        recordActivity() {
            lastActivityAt = Date.now();
        },
        stop: () => clearInterval(timer),
    };
}

function readResumeToken(response: Dispatcher.ResponseData, state: StreamState): void {
    const token = response.headers["gooseberrybend-resume"];
    if (typeof token === "string") {
        state.resumeToken = token;
    }
}

async function readRefusal(response: Dispatcher.ResponseData): Promise<AttemptResult<never>> {
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

function mayHaveBeenSent(error: unknown): boolean {
    const code = (error as { code?: string; }).code;
    return code !== "ECONNREFUSED" && code !== "UND_ERR_CONNECT_TIMEOUT";
}

function recordOutcome(progress: CallProgress, result: Exclude<AttemptResult<unknown>, { kind: "answered"; }>): void {
    const outcome = result.kind === "refused" ? result.refusal.outcome : result.sent ? "may-have-run" : "not-run";
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

function createFailure(progress: CallProgress, refusal: RefusalBody | undefined): CallFailure {
    return {
        kind: refusal === undefined ? "no-router" : "refused",
        reason: refusal?.type,
        outcome: progress.outcome,
        retryAfterMs: refusal?.retryAfterMs ?? MAX_RETRY_DELAY_MS,
        attempts: progress.attempts,
    };
}

function retryDelayMs(attempts: number, refusal: RefusalBody | undefined): number {
    const backoff = Math.min(MAX_RETRY_DELAY_MS, MIN_RETRY_DELAY_MS * 2 ** attempts) * (0.5 + Math.random() / 2);
    return Math.max(backoff, Math.min(refusal?.retryAfterMs ?? 0, MAX_RETRY_DELAY_MS));
}
