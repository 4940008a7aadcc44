import { type BudgetDeclaration, budgetKey, declarationSchema, type FileFault, parseFile } from "@gooseberrybend/core";
import { err, ok, type Result } from "neverthrow";
import { readdirSync, readFileSync } from "node:fs";
import { basename, join, relative, resolve } from "node:path";
import type { CommandFailure } from "../failure.js";

/** Declaration files found below the given folders. */
export type CollectedFiles = {
    /** Names of the folders; the paths of their files start with them. */
    readonly roots: readonly string[];
    /** File texts by path. */
    readonly texts: Readonly<Record<string, string>>;
    /** Budgets that the files declare. */
    readonly budgets: ReadonlyMap<string, BudgetDeclaration>;
};

const DECLARATION_FILE = /(^|\.)gooseberrybend\.jsonc$/;
const SKIPPED_FOLDERS = new Set(["node_modules", ".git", "dist"]);

/** Collects and checks the declaration files (gooseberrybend.jsonc, *.gooseberrybend.jsonc) below folders. */
export function collectFiles(folders: readonly string[]): Result<CollectedFiles, CommandFailure> {
    const texts: Record<string, string> = {};
    const roots: string[] = [];
    for (const folder of folders) {
        const root = basename(resolve(folder));
        if (roots.includes(root)) {
            return err({ kind: "usage", message: `Two folders are named ${root}. Publish them separately.` });
        }
        roots.push(root);
        const result = readFolder(folder, root, texts);
        if (result.isErr()) {
            return err(result.error);
        }
    }
    return checkFiles(roots, texts);
}

function readFolder(folder: string, root: string, texts: Record<string, string>): Result<void, CommandFailure> {
    try {
        for (const file of findDeclarationFiles(folder)) {
            texts[join(root, relative(folder, file))] = readFileSync(file, "utf8");
        }
        return ok();
    }
    catch (error) {
        const message = `${folder}: cannot be read: ${
            (error as NodeJS.ErrnoException).code
        }. Give an existing, readable folder.`;
        return err({ kind: "usage", message });
    }
}

function checkFiles(roots: readonly string[], texts: Record<string, string>): Result<CollectedFiles, CommandFailure> {
    const faults: FileFault[] = [];
    const budgets = new Map<string, BudgetDeclaration>();
    for (const [path, text] of Object.entries(texts)) {
        const parsed = parseFile(path, text, declarationSchema);
        if (parsed.isErr()) {
            faults.push(...parsed.error);
            continue;
        }
        for (const budget of parsed.value.budgets) {
            budgets.set(budgetKey(budget.account, budget.id), budget);
        }
    }
    return faults.length > 0 ? err({ kind: "faults", faults }) : ok({ roots, texts, budgets });
}

function findDeclarationFiles(folder: string): string[] {
    const files: string[] = [];
    for (const entry of readdirSync(folder, { withFileTypes: true })) {
        const path = join(folder, entry.name);
        if (entry.isDirectory() && !SKIPPED_FOLDERS.has(entry.name)) {
            files.push(...findDeclarationFiles(path));
        }
        if (entry.isFile() && DECLARATION_FILE.test(entry.name)) {
            files.push(path);
        }
    }
    return files.sort();
}
