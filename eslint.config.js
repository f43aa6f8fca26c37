import prettier from "eslint-config-prettier";
import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["dist/", "target/", "journal/", "node_modules/", "coverage/"] },
    ...tseslint.configs.recommended,
    {
        rules: {
            curly: ["error", "all"],
            eqeqeq: ["error", "always"],
            "prefer-arrow-callback": "error",
            "one-var": ["error", "never"],
            "no-null/no-null": "off",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: "function", format: ["camelCase"] },
                { selector: "variable", format: ["camelCase", "UPPER_CASE"] },
            ],
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_" }],
        },
    },
    prettier,
);
