/**
 * Combines the sections of several bundles. The fields before the first section of each text are replaced.
 *
 * @example
 * combineBundles([steyrtalText, keralaText], { name: "demo", version: 1, expires: "2027-12-31" });
 */
export const combineBundles = (
    texts: readonly string[],
    header: { name: string; version: number; expires: string },
): string => {
    const sections = texts.map(text => text.slice(text.search(/^\[/m)).trimEnd());
    const lines = [`version = ${header.version}`, `name = ${header.name}`, `expires = ${header.expires}`];
    return `${[lines.join("\n"), ...sections].join("\n\n")}\n`;
};
