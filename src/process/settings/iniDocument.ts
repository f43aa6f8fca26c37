import ini from "ini";
import type { InputProblem } from "./inputProblem.js";

/** A field of an INI section with its line number. */
export interface IniField {
    name: string;
    value: string;
    line: number;
}

/** A section of an INI text. The fields before the first header belong to a section with an empty name. */
export interface IniSection {
    name: string;
    line: number;
    fields: Map<string, IniField>;
}

/** A parsed INI text with the line numbers of its sections and fields, and the problems found by the parser. */
export interface IniDocument {
    file: string;
    sections: Map<string, IniSection>;
    problems: InputProblem[];
}

const HEADER_PATTERN = /^\s*\[([^\]]*)\]\s*(?:[;#].*)?$/;
const IGNORED_LINE_PATTERN = /^\s*(?:[;#].*)?$/;

/**
 * Parses an INI text. Each line is passed to the `ini` library separately, because the library reports neither line
 * numbers nor duplicates, skips malformed lines and splits section names at dots.
 *
 * @example
 * readIni("daemon.ini", "[instance]\nname = a1").sections.get("instance")?.fields.get("name")?.value; // "a1"
 */
export const readIni = (file: string, text: string): IniDocument => {
    const problems: InputProblem[] = [];
    let section: IniSection = { name: "", line: 1, fields: new Map() };
    const sections = new Map([[section.name, section]]);
    text.replace(/^\uFEFF/, "")
        .split(/\r\n|\n|\r/)
        .forEach((content, index) => {
            const line = index + 1;
            if (IGNORED_LINE_PATTERN.test(content)) {
                return;
            }
            const header = HEADER_PATTERN.exec(content);
            if (header !== null) {
                const name = header[1].trim().replace(/\s+/g, " ");
                const existing = sections.get(name);
                if (existing !== undefined) {
                    problems.push({
                        type: "duplicate-section",
                        file,
                        line,
                        section: name,
                        remedy: `The section already starts on line ${existing.line}. Merge the two.`,
                    });
                }
                // The fields of a duplicate section are collected too, so that their faults are also reported.
                section = existing ?? { name, line, fields: new Map() };
                sections.set(name, section);
                return;
            }
            const decoded = content.includes("=")
                ? Object.entries(ini.parse(content, { bracketedArray: false }) as Record<string, unknown>)[0]
                : undefined;
            if (decoded === undefined || content.trimStart().startsWith("[")) {
                problems.push({
                    type: "malformed-line",
                    file,
                    line,
                    section: section.name,
                    value: content.trim(),
                    remedy: "The line is neither a section nor a field. Write [section] or field = value.",
                });
                return;
            }
            const name = decoded[0];
            const existing = section.fields.get(name);
            if (existing !== undefined) {
                problems.push({
                    type: "duplicate-field",
                    file,
                    line,
                    section: section.name,
                    field: name,
                    value: String(decoded[1]),
                    remedy: `The field is already set on line ${existing.line}. Remove one of the two.`,
                });
                return;
            }
            section.fields.set(name, { name, value: String(decoded[1]), line });
        });
    return { file, sections, problems };
};
