/** A service of a benchmark bundle; all other fields are the same for every service. */
export interface BenchService {
    name: string;
    grants: "checked" | "unchecked";
    slots: number;
    /** With `none`, any target can serve any request. */
    dividedBy?: "key" | "none";
}

/**
 * Returns the text of a bundle that has, for each service, idempotent reads (`GET /NAME/:item`), long reads
 * (`GET /NAME/:item/long`), and writes that run at most once (`POST /NAME/:item`).
 *
 * @example
 * benchBundle([{ name: "stock", grants: "checked", slots: 6 }]);
 */
export const benchBundle = (services: readonly BenchService[], version = 1): string =>
    [
        `version = ${version}`,
        "name = bench",
        "expires = 2099-12-31",
        ...services.flatMap(({ name, grants, slots, dividedBy = "key" }) => [
            `[service ${name}]`,
            `path = /${name}`,
            `divided-by = ${dividedBy}`,
            `grants = ${grants}`,
            `slots = ${slots}`,
            "deadline-ms = 1000",
            `[kind ${name}.read]`,
            "methods = GET",
            `pattern = /${name}/:item`,
            "idempotent = true",
            "priority = high",
            `[kind ${name}.long]`,
            "methods = GET",
            `pattern = /${name}/:item/long`,
            "idempotent = true",
            "long = true",
            "priority = bulk",
            // The maximum deadline applies to requests to targets that don't check grants.
            grants === "checked" ? "deadline-ms = 30000" : "deadline-ms = 1000",
            `[kind ${name}.write]`,
            "methods = POST",
            `pattern = /${name}/:item`,
            "idempotent = false",
        ]),
        "",
    ].join("\n");
