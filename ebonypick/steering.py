"""Program of a steering host, run by ``python -m ebonypick.steering``."""

from ebonypick import _daemon


def run():
    """Run the daemon of a steering host, as ``ebonypick-steering`` does."""
    _daemon.run('ebonypick.process.steering')


if __name__ == '__main__':
    run()
