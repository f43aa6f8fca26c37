/** A column of a table: its heading and the function that returns the text of a row. */
export interface TableColumn<Row> {
    heading: string;
    text: (row: Row) => string | number | undefined;
}

// Names come from other processes; control characters in them could alter the terminal output.
const printable = (text: string): string => text.replace(/\p{Cc}/gu, "?");

/**
 * Formats rows as a table with a heading line. Undefined values are shown as `-`.
 *
 * @example
 * textTable([{ heading: "TARGET", text: row => row.target }], [{ target: "t1" }]); // "TARGET\nt1\n"
 */
export const textTable = <Row>(columns: readonly TableColumn<Row>[], rows: readonly Row[]): string => {
    const lines = [
        columns.map(column => column.heading),
        ...rows.map(row => columns.map(column => printable(String(column.text(row) ?? "-")))),
    ];
    const widths = columns.map((_, index) => Math.max(...lines.map(line => line[index].length)));
    return lines
        .map(line =>
            line
                .map((text, index) => text.padEnd(widths[index]))
                .join("  ")
                .trimEnd(),
        )
        .map(line => `${line}\n`)
        .join("");
};

/** Formats a time in milliseconds since the Unix epoch as ISO 8601. */
export const formatTime = (ms: number | undefined): string | undefined =>
    ms === undefined ? undefined : new Date(ms).toISOString();
