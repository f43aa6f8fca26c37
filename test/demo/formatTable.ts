/**
 * Formats rows as a table with the first column left-aligned and the others right-aligned. The first row is the header.
 *
 * @example
 * formatTable([["", "steyrtal"], ["requests", "120"]]);
 */
export const formatTable = (rows: readonly (readonly string[])[]): string => {
    const columns = Math.max(0, ...rows.map(row => row.length));
    const widths = Array.from({ length: columns }, (_, column) =>
        Math.max(...rows.map(row => (row[column] ?? "").length)),
    );
    const lines = rows.map(row =>
        widths
            .map((width, column) => {
                const cell = row[column] ?? "";
                return column === 0 ? cell.padEnd(width) : cell.padStart(width);
            })
            .join("  ")
            .trimEnd(),
    );
    const rule = widths.map(width => "-".repeat(width)).join("  ");
    return [lines[0], rule, ...lines.slice(1)].join("\n");
};
