import { MemoryTableService } from "../src/platform/MemoryTableService";
import type { RowAddress, RowOperation } from "../src/platform/types";
import { StandInServer } from "./StandInServer";

/** Stand-in for the transactional table service. */
export class TableStandIn {
    readonly tables = new MemoryTableService();
    readonly server = new StandInServer((request, _response, body) => this.handle(request.url ?? "", body));

    private async handle(path: string, body: Buffer): Promise<unknown> {
        const message = JSON.parse(body.toString("utf8")) as Record<string, unknown>;
        switch (path) {
            case "/transact":
                return this.tables.commit(message.operations as RowOperation[]);
            case "/read": {
                const rows = await this.tables.read(message.addresses as RowAddress[]);
                return { rows: rows.map(row => row ?? { absent: true }) };
            }
            case "/list":
                return {
                    rows: await this.tables.list(
                        message.table as string,
                        message.prefix as string,
                        message.limit as number,
                        message.after as string | undefined,
                    ),
                };
        }
        throw new Error(`path "${path}" does not exist`);
    }
}
