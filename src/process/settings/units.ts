import { z } from "zod";

const DURATION_UNITS: Record<string, number> = { ms: 1, s: 1_000, min: 60_000, h: 3_600_000, d: 86_400_000 };
const SIZE_UNITS: Record<string, number> = { B: 1, KiB: 1_024, MiB: 1_048_576 };
const QUANTITY_PATTERN = /^(\d+(?:\.\d+)?)\s*([A-Za-z]+)$/;

const parseQuantity = (text: string, units: Record<string, number>): number | undefined => {
    const match = QUANTITY_PATTERN.exec(text.trim());
    if (match === null || !Object.hasOwn(units, match[2])) {
        return undefined;
    }
    const quantity = Number(match[1]) * units[match[2]];
    return Number.isInteger(quantity) ? quantity : undefined;
};

const formatQuantity = (quantity: number, units: Record<string, number>): string => {
    const [unit, factor] = Object.entries(units)
        .filter(([, size]) => quantity >= size && quantity % size === 0)
        .reduce((best, entry) => (entry[1] > best[1] ? entry : best), Object.entries(units)[0]);
    return `${quantity / factor}${unit}`;
};

/** Parses a duration such as `200ms`, `1.5s`, `10min`, `1h` or `90d` to milliseconds; `undefined` for anything else. */
export const parseDuration = (text: string): number | undefined => parseQuantity(text, DURATION_UNITS);

/** Formats milliseconds in the largest unit that divides them evenly, for example `5s`. */
export const formatDuration = (milliseconds: number): string => formatQuantity(milliseconds, DURATION_UNITS);

/** Parses a size such as `512B`, `16KiB` or `8MiB` to bytes; `undefined` for anything else. */
export const parseSize = (text: string): number | undefined => parseQuantity(text, SIZE_UNITS);

/** Formats bytes in the largest unit that divides them evenly, for example `8MiB`. */
export const formatSize = (bytes: number): string => formatQuantity(bytes, SIZE_UNITS);

const quantitySchema = (
    parse: (text: string) => number | undefined,
    format: (quantity: number) => string,
    range: { minimum: number; maximum: number },
    advice: string,
) =>
    z.string().transform((text, context): number => {
        const quantity = parse(text);
        if (quantity === undefined) {
            context.addIssue({ code: "custom", message: advice });
            return z.NEVER;
        }
        if (quantity < range.minimum || quantity > range.maximum) {
            const message = `Write a value from ${format(range.minimum)} to ${format(range.maximum)}.`;
            context.addIssue({ code: "custom", message });
            return z.NEVER;
        }
        return quantity;
    });

/** Schema that parses the text of a duration to milliseconds and checks the range. */
export const durationSchema = (minimumMs: number, maximumMs: number) =>
    quantitySchema(
        parseDuration,
        formatDuration,
        { minimum: minimumMs, maximum: maximumMs },
        "Write a whole number of milliseconds with its unit, such as 200ms, 1.5s, 10min, 1h or 90d.",
    );

/** Schema that parses the text of a size to bytes and checks the range. */
export const sizeSchema = (minimumBytes: number, maximumBytes: number) =>
    quantitySchema(
        parseSize,
        formatSize,
        { minimum: minimumBytes, maximum: maximumBytes },
        "Write a whole number of bytes with its unit, such as 512B, 16KiB or 8MiB.",
    );
