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

const shown = (value: unknown): string | undefined => {
    if (value === undefined) {
        return undefined;
    }
    return Array.isArray(value) ? value.join(", ") : String(value);
};

/**
 * Lists what changes from one bundle to another, section by section. Order and comments make no difference.
 *
 * @example
 * diffBundles(inForce, next).filter(difference => difference.type === "removed");
 */
export const diffBundles = (before: Bundle, after: Bundle): BundleDifference[] => {
    const old = sectionsOf(before);
    const young = sectionsOf(after);
    const sections = [...new Set([...old.keys(), ...young.keys()])];
    return sections.flatMap((section): BundleDifference[] => {
        const oldFields = old.get(section);
        const youngFields = young.get(section);
        if (oldFields === undefined) {
            return [{ type: "added", section }];
        }
        if (youngFields === undefined) {
            return [{ type: "removed", section }];
        }
        const keys = [...new Set([...Object.keys(oldFields), ...Object.keys(youngFields)])];
        return keys
            .map(key => ({ key, before: shown(oldFields[key]), after: shown(youngFields[key]) }))
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
