export default {
    testEnvironment: "node",
    extensionsToTreatAsEsm: [".ts"],
    transform: {
        "^.+\\.ts$": [
            "<rootDir>/jest.transform.js",
            { jsc: { target: "es2022", parser: { syntax: "typescript" } }, module: { type: "es6" } },
        ],
    },
    moduleNameMapper: { "^(\\.{1,2}/.*)\\.js$": "$1" },
    modulePathIgnorePatterns: ["<rootDir>/dist/"],
    testPathIgnorePatterns: ["/node_modules/", "<rootDir>/dist/"],
    testMatch: ["**/__tests__/**/*.test.ts", "**/*.test.ts"],
    testTimeout: 60000,
    // Failure tests start many processes; more workers would compete for the cores and change the timing of leases.
    maxWorkers: 3,
};
