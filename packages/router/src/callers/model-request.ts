import type { Target } from "@gooseberrybend/core";
import { digestText } from "@gooseberrybend/core";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import type { Settings } from "../settings.js";
import { badRequest, type RequestFault } from "./request-headers.js";

const PREFIX_CHARACTERS = 256;
const MESSAGE_OVERHEAD_TOKENS = 16;

const modelRequestSchema = z.looseObject({
    model: z.string().min(1).max(63),
    messages: z.array(z.looseObject({ role: z.string(), content: z.unknown() })).min(1),
    stream: z.boolean().optional(),
    max_tokens: z.number().int().min(1).optional(),
    max_completion_tokens: z.number().int().min(1).optional(),
    n: z.literal(1).optional(),
});

/** A validated chat-completions request. */
export type ModelRequest = {
    readonly target: Extract<Target, { kind: "model"; }>;
    readonly stream: boolean;
    /** Body for the engine: always a stream, with max_tokens and usage. */
    readonly body: string;
};

/** Parses and validates a chat-completions body. */
export function readModelRequest(body: Buffer, limits: Settings["limits"]): Result<ModelRequest, RequestFault> {
    const json = parseJson(body);
    if (json === undefined) {
        return err(badRequest("The body is not JSON."));
    }
    const parsed = modelRequestSchema.safeParse(json);
    if (!parsed.success) {
        const issue = parsed.error.issues[0]!;
        return err(badRequest(`${issue.path.join(".") || "body"}: ${issue.message}`));
    }
    const request = parsed.data;
    const maxTokens = request.max_completion_tokens ?? request.max_tokens ?? limits.defaultMaxTokens;
    if (maxTokens > limits.maxTokens) {
        return err(badRequest(`max_tokens: must be at most ${limits.maxTokens}.`));
    }
    const messages = JSON.stringify(request.messages);
    return ok({
        target: {
            kind: "model",
            model: request.model,
            // A token has at least one byte, so the size in bytes is an upper bound of the prompt's tokens.
            promptTokens: Buffer.byteLength(messages) + MESSAGE_OVERHEAD_TOKENS,
            maxTokens,
            prefix: digestText(messages.slice(0, PREFIX_CHARACTERS)),
        },
        stream: request.stream ?? false,
        body: engineBody(request, maxTokens),
    });
}

function engineBody(request: z.infer<typeof modelRequestSchema>, maxTokens: number): string {
    return JSON.stringify({
        ...request,
        max_completion_tokens: undefined,
        max_tokens: maxTokens,
        stream: true,
        stream_options: { include_usage: true },
    });
}

function parseJson(body: Buffer): unknown {
    try {
        return JSON.parse(body.toString("utf8")) as unknown;
    }
    catch {
        return undefined;
    }
}
