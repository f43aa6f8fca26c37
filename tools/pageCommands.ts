/** A command line on a page. */
export interface PageCommand {
    line: number;
    text: string;
    /** Whether the command runs in the background until all commands of the page have run. */
    isBackground: boolean;
    /** Text that the output must contain. */
    shows: string | undefined;
}

/**
 * Returns the command lines of code blocks whose info string is `sh check`. A comment `# shows TEXT` after a command names
 * text that its output must contain. A trailing `&` runs a command in the background.
 *
 * @example
 * pageCommands("```sh check\ndate\n# shows 20\n```\n"); // [{ line: 2, text: "date", shows: "20", ... }]
 */
export const pageCommands = (page: string): PageCommand[] => {
    const commands: PageCommand[] = [];
    let isInside = false;
    page.split("\n").forEach((text, index) => {
        if (text.startsWith("```")) {
            isInside = text === "```sh check";
        } else if (isInside && text.startsWith("# shows ")) {
            const last = commands.at(-1);
            if (last !== undefined) {
                last.shows = text.slice("# shows ".length);
            }
        } else if (isInside && text.trim() !== "" && !text.startsWith("#")) {
            commands.push({
                line: index + 1,
                text: text.replace(/ &$/, ""),
                isBackground: text.endsWith(" &"),
                shows: undefined,
            });
        }
    });
    return commands;
};
