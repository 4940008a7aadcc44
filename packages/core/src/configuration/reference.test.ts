import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { describe, expect, it } from "vitest";
import { declarationSchema } from "./schema.js";

const page = readFileSync(
    fileURLToPath(new URL("../../../../docs/operators/DECLARATIONS.md", import.meta.url)),
    "utf8",
);

describe("reference page of declarations", () => {
    it.each(Object.entries(declarationSchema.shape))("describes every field of %s", (section, list) => {
        const start = page.indexOf(`## ${section}\n`);
        expect(start).toBeGreaterThan(0);
        const end = page.indexOf("\n## ", start + 1);
        const text = page.slice(start, end < 0 ? undefined : end);
        for (const [name, field] of Object.entries(list.def.innerType.element.shape)) {
            expect(text).toContain(`| \`${name}\` |`);
            expect(text).toContain(String(field.description));
        }
    });
});
