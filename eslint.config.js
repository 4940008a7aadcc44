import js from "@eslint/js";
import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["**/dist/**", "**/node_modules/**"] },
    js.configs.recommended,
    ...tseslint.configs.recommended,
    {
        files: ["packages/**/*.ts"],
        rules: {
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "max-lines": ["error", { max: 450, skipBlankLines: true, skipComments: true }],
            "no-console": "error",
            "no-restricted-syntax": ["error", { selector: "Literal[raw='null']", message: "Use undefined." }],
            "@typescript-eslint/consistent-type-definitions": ["error", "type"],
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^unused" }],
        },
    },
    {
        files: ["packages/core/src/**/*.ts"],
        ignores: ["**/*.test.ts"],
        rules: {
            "no-restricted-globals": ["error", "setTimeout", "setInterval", "process", "fetch"],
            "no-restricted-properties": [
                "error",
                { object: "Date", property: "now" },
                { object: "Math", property: "random" },
            ],
        },
    },
);
