import {Disposable} from '../../base/common/lifecycle.js';
import {UpstreamControl} from '../../features/fleet/common/upstreamControl.js';
import {UpstreamSource} from '../../features/fleet/common/upstreamSource.js';
import {HeaderCodec} from '../../features/forwarding/common/headerCodec.js';
import {DirectoryProtocol} from '../../features/instances/common/directoryProtocol.js';
import {ConfigurationSource} from '../../features/traffic/common/configurationSource.js';
import {Dialer} from '../../infrastructure/http/node/dialer.js';
import {ClockedTableService} from '../../infrastructure/table/common/clockedTableService.js';

/** Ports to the platform that the router runs on. */
export interface RouterPorts {
  readonly table: ClockedTableService;
  readonly configurationSource: ConfigurationSource;
  readonly upstreams: UpstreamSource;
  /** Creates the client of the upstreams' control endpoints; its connections are opened by the dialer. */
  readonly createUpstreamControl: (
    dialer: Dialer,
  ) => UpstreamControl & Disposable;
  readonly headerCodec: HeaderCodec;
  readonly directory: DirectoryProtocol;
}
