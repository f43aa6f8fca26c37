import ini from "ini";
import type { InputProblem } from "./inputProblem.js";

/** A field of an INI section with the line on which it stands. */
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

/** An INI text with the positions of its parts, and the problems found while reading it. */
export interface IniDocument {
    file: string;
    sections: Map<string, IniSection>;
    problems: InputProblem[];
}

const HEADER_PATTERN = /^\s*\[([^\]]*)\]\s*(?:[;#].*)?$/;
const IGNORED_LINE_PATTERN = /^\s*(?:[;#].*)?$/;

/**
 * Reads an INI text section by section. The `ini` library decodes the lines one at a time, because it gives neither
 * line numbers nor duplicates, skips what it can't read, and splits section names at dots.
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
                const held = sections.get(name);
                if (held !== undefined) {
                    problems.push({
                        type: "duplicate-section",
                        file,
                        line,
                        section: name,
                        remedy: `The section already starts on line ${held.line}. Merge the two.`,
                    });
                }
                // The fields of a repeated section are gathered too, so that their faults are reported as well.
                section = held ?? { name, line, fields: new Map() };
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
            const held = section.fields.get(name);
            if (held !== undefined) {
                problems.push({
                    type: "duplicate-field",
                    file,
                    line,
                    section: section.name,
                    field: name,
                    value: String(decoded[1]),
                    remedy: `The field is already set on line ${held.line}. Remove one of the two.`,
                });
                return;
            }
            section.fields.set(name, { name, value: String(decoded[1]), line });
        });
    return { file, sections, problems };
};
