import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { digestText } from "../support/digest.js";
import type { Snapshot } from "./snapshot.js";

/** Key of the head: the version of the configuration in force and the digests of its files. */
export const CONFIGURATION_HEAD_KEY = "configuration/head";

/** Digest that marks a removed file, so that a concurrent change to it conflicts. */
const REMOVED_DIGEST = "";

const publishedFileSchema = z.object({ digest: z.string(), by: z.string(), at: z.number(), version: z.number() });

const headSchema = z.object({
    version: z.number().int(),
    /** Ids of the latest publications, newest last, to detect that one whose reply was lost was applied. */
    publications: z.array(z.string()),
    files: z.record(z.string(), publishedFileSchema),
});

/** The version of the configuration in force and the digests of its files. */
export type ConfigurationHead = z.infer<typeof headSchema>;

/** A set of file changes that an operator publishes. */
export type Publication = {
    readonly id: string;
    readonly by: string;
    readonly at: number;
    /** Version that the operator's files were based on. */
    readonly base: number;
    /** New text by path; undefined removes the file. */
    readonly changes: Readonly<Record<string, string | undefined>>;
};

/** A file that another operator changed since the base version. */
export type PublicationConflict = {
    readonly kind: "publication-conflict";
    readonly path: string;
    readonly by: string;
    readonly at: number;
    readonly version: number;
};

const MAX_RECORDED_PUBLICATIONS = 64;

/** Returns the key under which a file's content is stored. */
export function partKey(digest: string): string {
    return `configuration/parts/${digest}`;
}

/** Reads a stored head; an absent value is version 0. */
export function parseHead(value: string | undefined): ConfigurationHead {
    return value === undefined ? { version: 0, publications: [], files: {} } : headSchema.parse(JSON.parse(value));
}

/** Returns true when the head includes a publication. */
export function includesPublication(head: ConfigurationHead, id: string): boolean {
    return head.publications.includes(id);
}

/** Merges a publication into the head. Files changed differently since its base version conflict. */
export function mergePublication(
    head: ConfigurationHead,
    publication: Publication,
): Result<ConfigurationHead, PublicationConflict[]> {
    const conflicts: PublicationConflict[] = [];
    const files = { ...head.files };
    const version = head.version + 1;
    for (const [path, text] of Object.entries(publication.changes)) {
        const current = head.files[path];
        const digest = text === undefined ? REMOVED_DIGEST : digestText(text);
        if (current !== undefined && current.version > publication.base && current.digest !== digest) {
            conflicts.push({
                kind: "publication-conflict",
                path,
                by: current.by,
                at: current.at,
                version: current.version,
            });
            continue;
        }
        if (current?.digest !== digest) {
            files[path] = { digest, by: publication.by, at: publication.at, version };
        }
    }
    if (conflicts.length > 0) {
        return err(conflicts);
    }
    const publications = [...head.publications, publication.id].slice(-MAX_RECORDED_PUBLICATIONS);
    return ok({ version, publications, files });
}

/** Lists the files in force with their digests. */
export function publishedFiles(head: ConfigurationHead): [string, ConfigurationHead["files"][string]][] {
    return Object.entries(head.files).filter(([, file]) => file.digest !== REMOVED_DIGEST);
}

/** Builds the snapshot of a head from file contents by digest; undefined if one is missing. */
export function assembleSnapshot(
    head: ConfigurationHead,
    parts: ReadonlyMap<string, string>,
): Snapshot | undefined {
    const files: Record<string, string> = {};
    for (const [path, file] of publishedFiles(head)) {
        const text = parts.get(file.digest);
        if (text === undefined) {
            return undefined;
        }
        files[path] = text;
    }
    return { version: head.version, files };
}
