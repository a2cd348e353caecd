import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["**/dist/**", "**/node_modules/**", "**/*_pb.ts", "reports/**", "target/**"] },
    ...tseslint.configs.strict,
    ...tseslint.configs.stylistic,
    {
        files: ["**/*.ts"],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            curly: ["error", "all"],
            eqeqeq: "error",
            "func-style": ["error", "expression"],
            "prefer-arrow-callback": "error",
            "no-param-reassign": "off",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "default", format: ["camelCase"], leadingUnderscore: "forbid" },
                { selector: "parameter", format: ["camelCase"], leadingUnderscore: "allow" },
                { selector: "import", format: ["camelCase", "PascalCase"] },
                { selector: "variable", modifiers: ["const"], format: ["camelCase", "PascalCase"] },
                { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: ["objectLiteralProperty", "objectLiteralMethod", "typeProperty"], format: null },
            ],
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-misused-promises": ["error", { checksVoidReturn: false }],
            "@typescript-eslint/switch-exhaustiveness-check": "error",
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_", varsIgnorePattern: "^_" }],
            "@typescript-eslint/consistent-type-imports": ["error", { fixStyle: "inline-type-imports" }],
            "@typescript-eslint/no-extraneous-class": ["error", { allowWithDecorator: true }],
            "@typescript-eslint/no-empty-function": "off",
            "@typescript-eslint/no-invalid-void-type": "off",
            "@typescript-eslint/unified-signatures": "off",
        },
    },
    // V8 keeps compiled code for scripts and not for modules, so the daemon's loader is a script.
    { files: ["**/*.cjs"], rules: { "@typescript-eslint/no-require-imports": "off" } },
);
