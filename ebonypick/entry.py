"""Program of an entry host, run by ``python -m ebonypick.entry``."""

from ebonypick import _daemon


def run():
    """Run the daemon of an entry host, as ``ebonypick-entry`` does."""
    _daemon.run('ebonypick.process.entry')


if __name__ == '__main__':
    run()
