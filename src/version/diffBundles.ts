import { fieldName } from "../process/settings/fieldText.js";
import type { Bundle } from "./bundle.js";
import { normalizeBundle } from "./normalizeBundle.js";

/** One difference between two bundles. */
export type BundleDifference =
    | { type: "added"; section: string }
    | { type: "removed"; section: string }
    | { type: "changed"; section: string; field: string; before: string | undefined; after: string | undefined };

type Fields = Record<string, unknown>;

const sectionsOf = (bundle: Bundle): Map<string, Fields> => {
    const { version, name, expires, services, kinds } = normalizeBundle(bundle);
    return new Map<string, Fields>([
        ["", { version, name, expires }],
        ...services.map((service): [string, Fields] => [`service ${service.name}`, service]),
        ...kinds.map((kind): [string, Fields] => [`kind ${kind.name}`, kind]),
    ]);
};

const formatValue = (value: unknown): string | undefined => {
    if (value === undefined) {
        return undefined;
    }
    return Array.isArray(value) ? value.join(", ") : String(value);
};

/**
 * Lists the differences between two bundles by section. Order and comments are ignored.
 *
 * @example
 * diffBundles(inForce, next).filter(difference => difference.type === "removed");
 */
export const diffBundles = (before: Bundle, after: Bundle): BundleDifference[] => {
    const previous = sectionsOf(before);
    const next = sectionsOf(after);
    const sections = [...new Set([...previous.keys(), ...next.keys()])];
    return sections.flatMap((section): BundleDifference[] => {
        const previousFields = previous.get(section);
        const nextFields = next.get(section);
        if (previousFields === undefined) {
            return [{ type: "added", section }];
        }
        if (nextFields === undefined) {
            return [{ type: "removed", section }];
        }
        const keys = [...new Set([...Object.keys(previousFields), ...Object.keys(nextFields)])];
        return keys
            .map(key => ({ key, before: formatValue(previousFields[key]), after: formatValue(nextFields[key]) }))
            .filter(({ before: was, after: is }) => was !== is)
            .map(({ key, before: was, after: is }) => ({
                type: "changed",
                section,
                field: fieldName(key),
                before: was,
                after: is,
            }));
    });
};
